package sidecar

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// read follows a recording from a position and returns its text and the error that ended it.
func read(ctx context.Context, r *recording, at position) (string, error) {
	var text strings.Builder
	for {
		next, err := r.next(ctx, &at)
		switch {
		case err != nil:
			return text.String(), err
		case next.err != nil:
			return text.String(), next.err
		case next.data != nil:
			text.Write(next.data.GetBody())
		case next.end != nil:
			return text.String(), nil
		}
	}
}

// Every reader must receive the whole response from its own position, even one that attaches after the end.
func TestReadersGetTheWholeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRecording(1 << 20)
		go func() {
			r.setHead(&wire.Head{Status: 200})
			for i := range 5 {
				time.Sleep(time.Second)
				_ = r.append(t.Context(), []byte(fmt.Sprint(i)))
			}
			r.finish(dialect.Usage{}, nil)
		}()
		early, err := read(t.Context(), r, position{})
		is.NoErr(err)
		is.Equal(early, "01234")
		late, err := read(t.Context(), r, position{chunksRead: 3})
		is.NoErr(err)
		is.Equal(late, "34")
	})
}

// A reader that asks for dropped chunks must get an error, not a response with a gap. A slow reader must
// block the writer at the memory limit.
func TestRecordingStaysWithinMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRecording(10)
		r.setHead(&wire.Head{})
		done := make(chan error, 1)
		go func() {
			var err error
			for range 6 {
				err = errors.Join(err, r.append(t.Context(), []byte("12345")))
			}
			r.finish(dialect.Usage{}, err)
			done <- err
		}()
		synctest.Wait()
		is.Equal(r.size(), 10)
		text, err := read(t.Context(), r, position{})
		is.NoErr(err)
		is.Equal(len(text), 30)
		is.NoErr(<-done)
		_, err = read(t.Context(), r, position{})
		is.Equal(verdict.As(err).Reason, verdict.ReasonKeyAnswerNotKept)
	})
}
