package sidecar

import (
	"context"
	"sync/atomic"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// grant is the right to run one request.
type grant interface {
	// Progress tells of one more piece of the response.
	Progress()
	// Done frees the request's work; later calls do nothing.
	Done()
}

// admitter decides which requests the backend server takes.
type admitter interface {
	Admit(ctx context.Context, req *wire.ExecuteRequest) (grant, error)
	Work() uint64
}

func (s *Sidecar) provision() error {
	s.operators = kernel.NewOperatorServer(s.kernel.Counters)
	s.operators.Handle("GET /debug/journal", s.journal)
	s.admission = &slots{limit: int64(s.settings.Admission.MaxRequests)}
	var err error
	s.keeper, err = s.newKeeper()
	return err
}

func (s *Sidecar) background() {}

// admit asks admission and gives up when the deadline or the router's stream ends.
func (s *Sidecar) admit(ctx, stream context.Context, req *wire.ExecuteRequest) (grant, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream, cancel)()
	return s.admission.Admit(waiting, req)
}

// ended tells admission that a run has ended.
func (s *Sidecar) ended(_ *wire.ExecuteRequest, granted grant, err error) {
	granted.Done()
	s.kernel.Counters.Map("runs").Add(verdict.Of(err).String(), 1)
}

func (s *Sidecar) load() *wire.Load {
	return &wire.Load{Incarnation: s.incarnation, Work: s.admission.Work(), Leaving: s.leaving.Load()}
}

// slots admits up to a number of requests.
type slots struct {
	used  atomic.Int64
	limit int64
}

// Admit implements admitter.
func (s *slots) Admit(context.Context, *wire.ExecuteRequest) (grant, error) {
	if s.used.Add(1) > s.limit {
		s.used.Add(-1)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverCapacity, "all request slots are in use")
	}
	return &slot{slots: s}, nil
}

// Work implements admitter.
func (s *slots) Work() uint64 { return uint64(s.used.Load()) }

type slot struct {
	slots *slots
	done  atomic.Bool
}

// Progress implements grant.
func (s *slot) Progress() {}

// Done implements grant.
func (s *slot) Done() {
	if !s.done.Swap(true) {
		s.slots.used.Add(-1)
	}
}
