package httpcheck

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// headGrammar is the head of a response as RFC 9112 and RFC 9110 define it, except that the blank before an empty reason may be
// missing.
var headGrammar = regexp.MustCompile("^(?s:HTTP/1\\.[0-9] ([1-5][0-9][0-9])( [\\t\\x20-\\x7e\\x80-\\xff]*)?\r\n" +
	"([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\r\n)*\r\n)")

// latin1 returns the bytes of text as characters, which the grammar is written in.
func latin1(text []byte) string {
	out := make([]rune, len(text))
	for i, c := range text {
		out[i] = rune(c)
	}
	return string(out)
}

// recorder keeps what is read through it.
type recorder struct {
	io.Reader
	text []byte
}

func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.text = append(r.text, p[:n]...)
	return n, err
}

// checkResponses reads responses from in with net/http behind a Reader until one fails, and verifies of each that its head is in
// the grammar, and that net/http and the Reader see its end at the same place. It returns how many there were.
func checkResponses(t interface{ Fatalf(string, ...any) }, in []byte, method string) (responses int) {
	// By single bytes, the Reader sees the end of a response when its last byte is read.
	checked := NewReader(iotest.OneByteReader(strings.NewReader(string(in))), nil)
	passed := &recorder{Reader: checked}
	var ends []int
	checked.onEnd = func() { ends = append(ends, len(passed.text)+1) }
	checked.Begin(method)
	buffered := bufio.NewReader(passed)
	for {
		begin := len(passed.text) - buffered.Buffered()
		resp, err := http.ReadResponse(buffered, &http.Request{Method: method})
		if err != nil {
			break
		}
		head := passed.text[begin : len(passed.text)-buffered.Buffered()]
		grammar := headGrammar.FindStringSubmatch(latin1(head))
		if grammar == nil || len([]rune(grammar[0])) != len(head) || fmt.Sprint(resp.StatusCode) != grammar[1] {
			t.Fatalf("status %d with the malformed head %q", resp.StatusCode, head)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			t.Fatalf("another protocol: %q", in)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			break
		}
		end := len(passed.text) - buffered.Buffered()
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead || resp.StatusCode == 204 || resp.StatusCode == 304
		switch {
		case framed && (responses >= len(ends) || ends[responses] != end):
			t.Fatalf("net/http sees the end of response %d at %d, the check at %v: %q", responses, end, ends, in)
		case !framed && checked.state != inUnframedBody:
			t.Fatalf("net/http sees no end of response %d, the check %v: %q", responses, ends, in)
		case !framed && string(body) != string(in[begin+len(head):]):
			t.Fatalf("body %q of a response that ends with its connection: %q", body, in)
		}
		responses++
		if !framed {
			break
		}
	}
	if !strings.HasPrefix(string(in), string(passed.text)) {
		t.Fatalf("%q was changed to %q", in, passed.text)
	}
	return responses
}

// Pieces of inputs that are close to HTTP.
var (
	statusLines = []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 404 x\r\n", "HTTP/1.1 103 Early\r\n", "HTTP/1.1 204 No Content\r\n",
		"HTTP/1.1 304 x\r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 101 x\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 600 x\r\n", "HTTP/2.0 200 OK\r\n",
		"HTTP/1.1  200 OK\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 +20\r\n", "\r\n", "",
	}
	fields = []string{
		"Content-Length: 3\r\n", "content-length:3\r\n", "Content-Length: 0\r\n", "Content-Length: +3\r\n", "Content-Length : 3\r\n",
		"Content-Length: 3, 3\r\n", "Transfer-Encoding: chunked\r\n", "transfer-encoding: CHUNKED\r\n", "Transfer-Encoding: gzip\r\n",
		"Transfer-Encoding : chunked\r\n", "Trailer: X\r\n", "Connection: close\r\n", "X: a\r\n", "X Y: a\r\n", "X\t: a\r\n", "X\x01: a\r\n",
		"X: a\x00\r\n", "X: a\rb\r\n", " folded\r\n", ": a\r\n", "X\r\n", "X: \xe9\r\n", "X:\n",
	}
	bodies = []string{
		"abc", "3\r\nabc\r\n", "3;x=y\r\nabc\r\n", "3 \r\nabc\r\n", "2\r\nabc\r\n", "0\r\n", "000;x\r\n", "0\r\n\r\n", "fffffffffffffffff\r\n",
		"-1\r\n", "\r\n", "\n", "\r", "X: a\r\n", "X Y: a\r\n", "Content-Length: 3\r\n",
	}
)

// nearResponse draws a text that may be a response.
func nearResponse(t *rapid.T) string {
	join := func(pieces []string, most int, label string) string {
		return strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, most).Draw(t, label), "")
	}
	return rapid.SampledFrom(statusLines).Draw(t, "status line") + join(fields, 3, "fields") + "\r\n" + join(bodies, 3, "body")
}

// Guards against a response that net/http reads otherwise than it was sent, because its head is malformed or its end ambiguous.
func TestParserAndCheckAgree(t *testing.T) {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodHead}
	for _, line := range statusLines {
		for _, field := range fields {
			for _, body := range bodies {
				checkResponses(t, []byte(line+field+"\r\n"+body+"0\r\n\r\n"), http.MethodGet)
			}
		}
	}
	proptest.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.Custom(nearResponse), 1, 3).Draw(t, "responses"), "")
		checkResponses(t, []byte(text), rapid.SampledFrom(methods).Draw(t, "method"))
	})
}

// FuzzReader is TestParserAndCheckAgree for arbitrary bytes; its corpus runs with the other tests.
func FuzzReader(f *testing.F) {
	for _, line := range statusLines {
		f.Add([]byte(line + "Content-Length: 3\r\n\r\nabc"))
	}
	for _, field := range fields {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + field + "\r\n3\r\nabc\r\n0\r\n\r\n"))
	}
	for _, body := range bodies {
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, in []byte) { checkResponses(t, in, http.MethodGet) })
}

// soundResponse draws a well-formed response that does not end with its connection.
func soundResponse(t *rapid.T) string {
	token := rapid.StringMatching("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,12}").Filter(func(name string) bool {
		return framingOf([]byte(name)) == noFraming && !strings.EqualFold(name, "Trailer")
	})
	value := rapid.StringMatching(`[\t\x20-\x7e]{0,16}`)
	field := rapid.Custom(func(t *rapid.T) string { return token.Draw(t, "name") + ":" + value.Draw(t, "value") + "\r\n" })
	fields := func(label string) string { return strings.Join(rapid.SliceOfN(field, 0, 4).Draw(t, label), "") }
	status := rapid.IntRange(200, 599).Filter(func(n int) bool { return n != 204 && n != 304 }).Draw(t, "status")
	var out strings.Builder
	for range rapid.IntRange(0, 2).Draw(t, "interim") {
		out.WriteString("HTTP/1.1 103 \r\n" + fields("interim fields") + "\r\n")
	}
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%s", status, value.Draw(t, "reason"), fields("fields"))
	body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body")
	if rapid.Bool().Draw(t, "length") {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return out.String()
	}
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.String() + "0\r\n" + fields("trailers") + "\r\n"
}

// Guards against well-formed responses that are refused or changed, however they arrive, and against a part of one that is taken
// for a whole one.
func TestSoundResponsesPass(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		responses := rapid.SliceOfN(rapid.Custom(soundResponse), 1, 3).Draw(t, "responses")
		text := strings.Join(responses, "")
		for _, split := range []func(io.Reader) io.Reader{iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader} {
			got, err := io.ReadAll(NewReader(split(strings.NewReader(text)), nil))
			if err != nil || string(got) != text {
				t.Fatalf("%q became %q, %v", text, got, err)
			}
		}
		if n := checkResponses(t, []byte(text), http.MethodGet); n != len(responses) {
			t.Fatalf("%d of %d responses of %q", n, len(responses), text)
		}
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		if n := checkResponses(t, []byte(text[:cut]), http.MethodGet); n == len(responses) {
			t.Fatalf("%q is taken for a whole response", text[:cut])
		}
		_, err := io.ReadAll(NewReader(strings.NewReader(text[:cut]), nil))
		if whole := endsOne(responses, cut); whole != (err == nil) {
			t.Fatalf("%q: %v", text[:cut], err)
		}
	})
}

// endsOne reports whether one of the responses, which follow each other, ends at a position, or none has begun there.
func endsOne(responses []string, position int) bool {
	end := 0
	for _, response := range responses {
		if end == position {
			return true
		}
		end += len(response)
	}
	return false
}

// Guards against data that goes on after a malformed line, and against a malformed line that is passed on in part when it has
// arrived whole.
func TestNothingPassesAfterAMalformedLine(t *testing.T) {
	is := is.New(t)
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	reader := NewReader(strings.NewReader(sound+"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nno"), nil)
	got, err := io.ReadAll(reader)
	is.Equal(string(got), sound)
	var malformed *Error
	is.True(errors.As(err, &malformed))
	is.Equal(malformed.Part, PartStatusLine)
	is.Equal(malformed.Text, `"HTTP/1.1 000 OK"`)
	is.True(!strings.Contains(err.Error(), "000")) // callers see the message
	_, again := reader.Read(make([]byte, 1))
	is.Equal(again, err)
	is.Equal(reader.Err(), err)
}

// Guards against a wait for the rest of a line that cannot become a status line.
func TestBytesThatAreNoResponseFailAtOnce(t *testing.T) {
	is := is.New(t)
	in, out := io.Pipe()
	defer in.Close()
	go func() { _, _ = io.WriteString(out, "hello") }()
	_, err := NewReader(in, nil).Read(make([]byte, 64))
	var malformed *Error
	is.True(errors.As(err, &malformed))
}

// Guards against a line without end that is held in memory.
func TestLinesAreBounded(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"} {
		is := is.New(t)
		reader := NewReader(io.MultiReader(strings.NewReader(begin), endless{}), nil)
		n, err := io.Copy(io.Discard, reader)
		is.True(err != nil)
		is.True(n < 2*maxLineBytes)
		is.True(cap(reader.line) < 4*maxLineBytes)
	}
}

// endless is a text without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
