package httpcheck

import (
	"bytes"
	"strconv"
)

const (
	// protocol begins the status line of each response. The minor version follows.
	protocol = "HTTP/1."
	// statusAt and reasonAt are the positions of the status code and of the blank before the reason in a status line.
	statusAt = len(protocol) + 2
	reasonAt = statusAt + 3
	// minStatus and maxStatus bound the status codes (RFC 9110, 15).
	minStatus, maxStatus = 100, 599
	// maxSizeDigits bounds a chunk size, which then fits an int64.
	maxSizeDigits = 15
)

// checkStatusLine checks a status line, without its end. The reason may be empty, and the blank before it may then be missing: it
// separates nothing.
func (r *Reader) checkStatusLine(line []byte) error {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(protocol)) || !isDigit(line[len(protocol)]) || line[statusAt-1] != ' ' {
		return malformed(PartStatusLine, line)
	}
	status := 0
	for _, c := range line[statusAt:reasonAt] {
		if !isDigit(c) {
			return malformed(PartStatusLine, line)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return malformed(PartStatusLine, line)
	}
	if reason := line[reasonAt:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return malformed(PartStatusLine, line)
	}
	r.head = head{status: status, minorVersion: line[len(protocol)]}
	r.state = inFields
	return nil
}

// splitField checks a field line, without its end, and returns its parts. A line that begins with a blank, which once continued
// the one before, has no name.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !isToken(name):
		return nil, nil, malformed(PartFieldName, line)
	case !isText(value):
		return nil, nil, malformed(PartFieldValue, line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// framing is a field that decides on the framing of a message.
type framing uint8

const (
	noFraming framing = iota
	contentLength
	transferEncoding
)

func framingOf(name []byte) framing {
	switch {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		return contentLength
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return transferEncoding
	}
	return noFraming
}

// checkField checks a field line of a head, without its end. The same length may be given more than once (RFC 9112, 6.3).
func (r *Reader) checkField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch framingOf(name) {
	case contentLength:
		length, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || r.head.hasLength && r.head.length != int64(length) {
			return malformed(PartFraming, line)
		}
		r.head.hasLength, r.head.length = true, int64(length)
	case transferEncoding:
		if r.head.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed(PartFraming, line)
		}
		r.head.chunked = true
	}
	return nil
}

// checkTrailer checks a trailer field, without its end. The framing of a message is known before its end.
func checkTrailer(line []byte) error {
	name, _, err := splitField(line)
	if err != nil || framingOf(name) != noFraming {
		return malformed(PartTrailer, line)
	}
	return nil
}

// beginChunk checks the line before a chunk, without its end: the size and extensions, which mean nothing here.
func (r *Reader) beginChunk(line []byte) error {
	digits, extensions, _ := bytes.Cut(line, []byte(";"))
	significant := bytes.TrimLeft(digits, "0")
	if len(digits) == 0 || len(significant) > maxSizeDigits || !isText(extensions) {
		return malformed(PartChunk, line)
	}
	size := int64(0)
	for _, c := range significant {
		digit, ok := hexDigit(c)
		if !ok {
			return malformed(PartChunk, line)
		}
		size = size<<4 | digit
	}
	if size == 0 {
		r.state = inTrailer
		return nil
	}
	r.state, r.left = inChunkData, size
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func hexDigit(c byte) (int64, bool) {
	switch {
	case isDigit(c):
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

// tokenBytes are the bytes of a token (RFC 9110, 5.6.2).
var tokenBytes = func() (set [256]bool) {
	for c := range set {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		set[c] = letter && c < 0x80 || isDigit(byte(c)) && c < 0x80
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		set[c] = true
	}
	return set
}()

// isToken reports whether text is a token, such as the name of a field.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text has no control bytes but tabs, as the value of a field.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
