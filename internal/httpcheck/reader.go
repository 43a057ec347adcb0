// Package httpcheck checks that what a server sends on a connection are well-formed responses of HTTP/1.1 (RFC 9110, RFC 9112).
//
// net/http is lenient where a response is not what it seems: it accepts any three digits as a status, a blank in the name of a
// field, which hides a Content-Length, folded values, a bare LF, and chunks beside a length. Behind a Reader it gets only what
// it cannot misunderstand. All clients of this project read responses through a Reader, or through a Conn if they use
// http.Transport.
package httpcheck

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
)

// maxLineBytes bounds a line of a head, a chunk size or a trailer. Parsers have lower limits.
const maxLineBytes = 64 << 10

// ErrReset is the error of a response that ends with its connection if that was reset. The kernel reports a reset once, to a
// write if there is one at that time. The reader then finds the end of the data.
var ErrReset = errors.New("the connection was reset")

// Parts of a response that an Error names. They are labels of counters.
const (
	PartStatusLine = "status line"
	PartFieldName  = "field name"
	PartFieldValue = "field value"
	PartLineEnd    = "line end"
	PartFraming    = "framing"
	PartChunk      = "chunk"
	PartTrailer    = "trailer"
)

// Error says that a server sent something else than a well-formed response.
type Error struct {
	// Part names the part of the response that is malformed.
	Part string
	// Text is the beginning of the malformed line. It comes from the server and is not part of the message, which callers see.
	Text string
}

// maxErrorText is the number of bytes of a malformed line that an Error keeps.
const maxErrorText = 64

// Error implements the error interface.
func (e *Error) Error() string { return "malformed response: " + e.Part }

func malformed(part string, line []byte) *Error {
	return &Error{Part: part, Text: strconv.QuoteToASCII(string(line[:min(len(line), maxErrorText)]))}
}

// state is what a Reader expects next.
type state uint8

const (
	inStatusLine state = iota
	inFields
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	// inUnframedBody lasts until the end of the connection.
	inUnframedBody
)

// Kinds of requests whose responses differ in their framing.
const (
	otherRequest uint32 = iota
	headRequest
	connectRequest
)

// Reader passes on the responses that are read from a connection, up to the first byte of a line that is malformed. All further
// reads fail with an *Error. The end of the connection within a response is io.ErrUnexpectedEOF.
//
// Read must be called by one goroutine at a time. Begin may be called while a read is in progress.
type Reader struct {
	src io.Reader
	// whole, if set, is called at the end of a response that ends with its connection. It returns an error if the connection has
	// failed otherwise.
	whole func() error
	// onEnd, if set, is called at the end of each final response that does not end with its connection.
	onEnd   func()
	request atomic.Uint32
	// begun is set once data has arrived since Begin.
	begun atomic.Bool
	state state
	// err is the error of all further reads.
	err error
	// line is the part of the current line that has arrived.
	line []byte
	// left is the number of bytes left of a body or chunk.
	left int64
	head head
	// afterInterim is set from the end of an interim response to that of the final one.
	afterInterim bool
}

// head is what the head of a response says of its framing.
type head struct {
	status       int
	minorVersion byte
	hasLength    bool
	length       int64
	chunked      bool
}

// NewReader returns a Reader of the responses that are read from src. If whole is not nil, it is called at the end of a response
// that ends with its connection, which then fails with its error.
func NewReader(src io.Reader, whole func() error) *Reader { return &Reader{src: src, whole: whole} }

// Begin is called before a request is sent.
func (r *Reader) Begin(method string) {
	kind := otherRequest
	switch method {
	case http.MethodHead:
		kind = headRequest
	case http.MethodConnect:
		kind = connectRequest
	}
	r.request.Store(kind)
	r.begun.Store(false)
}

// Begun reports whether anything has arrived since Begin.
func (r *Reader) Begun() bool { return r.begun.Load() }

// Err returns the error of all further reads, or nil. A connection with an error cannot be used again.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.src.Read(p)
	if n > 0 && !r.begun.Load() {
		r.begun.Store(true)
	}
	good, failure := r.check(p[:n])
	switch {
	case failure != nil:
		r.err = failure
	case err == io.EOF:
		r.err = r.end()
	default:
		return n, err
	}
	if good > 0 {
		return good, nil
	}
	return 0, r.err
}

// end returns the error of the end of the connection.
func (r *Reader) end() error {
	switch {
	case r.state == inStatusLine && len(r.line) == 0 && !r.afterInterim:
		return io.EOF
	case r.state != inUnframedBody:
		return io.ErrUnexpectedEOF
	case r.whole != nil:
		if err := r.whole(); err != nil {
			return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
	}
	return io.EOF
}

// check checks data that has arrived and returns the number of bytes before the first malformed line.
func (r *Reader) check(p []byte) (good int, err error) {
	rest := p
	for len(rest) > 0 {
		switch r.state {
		case inUnframedBody:
			return len(p), nil
		case inBody, inChunkData:
			n := min(r.left, int64(len(rest)))
			rest = rest[n:]
			if r.left -= n; r.left > 0 {
				break
			}
			if r.state == inChunkData {
				r.state = inChunkEnd
				break
			}
			r.endResponse()
		default:
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				if err := r.keepPart(rest); err != nil {
					return len(p) - len(rest), err
				}
				return len(p), nil
			}
			line := rest[:end+1]
			if len(r.line) > 0 {
				line = append(r.line, line...)
				r.line = nil
			}
			if err := r.checkLine(line); err != nil {
				return len(p) - len(rest), err
			}
			rest = rest[end+1:]
		}
	}
	return len(p), nil
}

// keepPart keeps the part of a line that has arrived. It fails at once if that cannot be the begin of a response, for which a
// parser would wait in vain.
func (r *Reader) keepPart(part []byte) error {
	r.line = append(r.line, part...)
	switch {
	case len(r.line) > maxLineBytes:
		return malformed(PartLineEnd, r.line)
	case r.state == inStatusLine && !bytes.HasPrefix(r.line, []byte(protocol[:min(len(protocol), len(r.line))])):
		return malformed(PartStatusLine, r.line)
	}
	return nil
}

// checkLine checks a line with its end.
func (r *Reader) checkLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return malformed(PartLineEnd, line)
	}
	switch r.state {
	case inStatusLine:
		return r.checkStatusLine(text)
	case inFields:
		if len(text) == 0 {
			return r.endHead()
		}
		return r.checkField(text)
	case inTrailer:
		if len(text) == 0 {
			r.endResponse()
			return nil
		}
		return checkTrailer(text)
	case inChunkSize:
		return r.beginChunk(text)
	default: // inChunkEnd
		if len(text) > 0 {
			return malformed(PartChunk, line)
		}
		r.state = inChunkSize
		return nil
	}
}

// endHead decides on the body of a response after its head.
func (r *Reader) endHead() error {
	h, request := &r.head, r.request.Load()
	noBody := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.status == http.StatusSwitchingProtocols, request == connectRequest && h.status < http.StatusMultipleChoices:
		// No request of ours asks for another protocol, and what follows would be one.
		return &Error{Part: PartFraming, Text: "another protocol"}
	case h.chunked && (h.hasLength || h.minorVersion == '0'):
		return &Error{Part: PartFraming, Text: "chunks beside a length, or in HTTP/1.0"}
	case noBody && (h.chunked || h.length > 0):
		return &Error{Part: PartFraming, Text: "a body of a response that has none"}
	case h.status < http.StatusOK:
		r.state, r.afterInterim = inStatusLine, true
	case noBody, h.status == http.StatusNotModified, request == headRequest:
		r.endResponse()
	case h.chunked:
		r.state = inChunkSize
	case h.hasLength && h.length == 0:
		r.endResponse()
	case h.hasLength:
		r.state, r.left = inBody, h.length
	default:
		r.state = inUnframedBody
	}
	return nil
}

// endResponse is called at the end of a final response.
func (r *Reader) endResponse() {
	r.state, r.afterInterim = inStatusLine, false
	if r.onEnd != nil {
		r.onEnd()
	}
}
