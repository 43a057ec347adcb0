package requestbody

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// firstSegmentBytes and maxSegmentBytes bound the pieces in which a body is held. A body is never copied to a larger
	// place, and takes at most one unfilled piece more than has arrived.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 64 << 10
)

// Meter is told how a body grows.
type Meter interface {
	// Grow is asked before n bytes of memory are taken.
	Grow(n int64) bool
	// Arrived is told of n bytes of the body that have arrived.
	Arrived(n int)
}

// NoMemoryError is returned for a body that its meter does not let grow.
type NoMemoryError struct{}

func (NoMemoryError) Error() string { return "there is no memory for the body" }

// segments keeps the pieces of bodies that were not read to their end. Nobody else has seen them. Under attack most bodies
// are given up, and the garbage collector would fall behind.
var segments = sync.Pool{New: func() any { return new([maxSegmentBytes]byte) }}

// newSegment returns an empty piece of a size.
func newSegment(size int64) []byte {
	if size < maxSegmentBytes {
		return make([]byte, 0, size)
	}
	return segments.Get().(*[maxSegmentBytes]byte)[:0]
}

// reuse takes the pieces of a body that nobody else has seen.
func reuse(body [][]byte) {
	for _, piece := range body {
		if cap(piece) == maxSegmentBytes {
			segments.Put((*[maxSegmentBytes]byte)(piece[:maxSegmentBytes]))
		}
	}
}

// Collect is Read for a body that takes memory from a meter as it arrives. The segments of the body are returned in order.
func Collect(w http.ResponseWriter, r *http.Request, limit int64, m Meter) ([][]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, rejectTooLarge(w, r, limit)
	}
	body, err := collect(r, limit, m)
	if err == nil {
		return body, nil
	}
	reuse(body)
	if err == errOverLimit {
		return nil, rejectTooLarge(w, r, limit)
	}
	return nil, err
}

// errOverLimit is the error of collect for a body that exceeds the limit.
var errOverLimit = errors.New("the body exceeds the limit")

// collect reads a body. With an error it returns the pieces that it has.
func collect(r *http.Request, limit int64, m Meter) (body [][]byte, err error) {
	var size int64
	next := int64(firstSegmentBytes)
	for {
		room := next
		if r.ContentLength >= 0 {
			room = min(room, r.ContentLength-size)
		}
		var segment []byte
		if room > 0 {
			if !m.Grow(room) {
				return body, NoMemoryError{}
			}
			segment = newSegment(room)
		} else {
			// A byte is read only to find the end.
			segment = make([]byte, 0, 1)
		}
		full, err := fill(r.Body, &segment, m)
		size += int64(len(segment))
		if len(segment) > 0 {
			body = append(body, segment)
		}
		if limit > 0 && size > limit {
			return body, errOverLimit
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		if full {
			next = min(2*next, maxSegmentBytes)
		}
	}
}

// fill reads until a segment is full.
func fill(r io.Reader, segment *[]byte, m Meter) (full bool, err error) {
	for len(*segment) < cap(*segment) {
		n, err := r.Read((*segment)[len(*segment):cap(*segment)])
		*segment = (*segment)[:len(*segment)+n]
		m.Arrived(n)
		if err != nil {
			return false, err
		}
	}
	return true, nil
}
