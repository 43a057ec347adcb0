package sidecar

import (
	"context"
	"sync"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/membership"
	"jacinthfork.example/jacinthfork/suspect"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// percent converts a factor of the settings.
const percent = 100

// newController returns the admission controller with the settings of the file.
func (s *Sidecar) newController() (*admission.Controller, error) {
	own := s.settings.Admission
	a := admission.DefaultSettings()
	a.FactorPercent = uint64(own.BoundFactor * percent)
	a.OneRequestTokens = uint64(own.OneRequestTokens)
	a.CapacityRequests = own.MaxRequests
	a.CapacityTokens = uint64(own.MaxTokens)
	a.QueueRequests = own.MaxQueue
	return admission.NewController(a, poolMean{s.pool}, s.limiter)
}

// poolMean gives admission the load of the pool.
type poolMean struct{ pool *membership.Pool }

// Mean implements admission.Pool.
func (p poolMean) Mean(own uint64) (uint64, int) {
	mean := p.pool.Mean()
	return mean.Others + own, mean.Members
}

// grant is the right to run one request, counted by admission and by the table of crash suspects.
type grant struct {
	side   *Sidecar
	load   *admission.Grant
	run    *suspect.Run
	prompt uint64
	once   sync.Once
}

// Progress tells of one more piece of the response; the first one means that the prompt is done.
func (g *grant) Progress() {
	g.load.Progress(g.prompt, 1)
	g.prompt = 0
}

// Done frees the request's work; later calls do nothing. completed says that the backend server ran
// the request to its end.
func (g *grant) Done(completed bool) {
	g.once.Do(func() {
		if g.run != nil {
			g.side.suspects.Finish(g.run, completed)
		}
		g.load.Done()
	})
}

// admit asks the table of crash suspects and admission, and gives up when the deadline or the
// router's stream ends. Its errors have the verdict not-run.
func (s *Sidecar) admit(ctx, stream context.Context, req *wire.ExecuteRequest) (*grant, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream, cancel)()
	who := suspect.Request{
		Fingerprint: req.GetFingerprint(), Group: req.GetDocumentGroup(),
		ByToken: req.GetByToken(), Isolate: req.GetIsolate(),
	}
	decision := s.suspects.Check(who)
	if decision.Err != nil {
		return nil, askOther(decision)
	}
	cached := s.prefixes.cached(req)
	load, err := s.admission.Admit(waiting, admission.Request{
		Organisation: req.GetOrganisation(), PromptTokens: uint64(req.GetPromptTokens()),
		DecodeTokens: uint64(req.GetDecodeTokens()), CachedTokens: cached, AtMean: req.GetAtMean() && s.settings.Admission.AtMean,
		Isolate: decision.Isolate, Fingerprint: req.GetFingerprint(),
	})
	if err != nil {
		return nil, err
	}
	run, decision := s.suspects.Start(who, decision.Isolate)
	if decision.Err != nil {
		load.Done()
		return nil, askOther(decision)
	}
	return &grant{side: s, load: load, run: run, prompt: uint64(req.GetPromptTokens())}, nil
}

// askError is a refusal that names the instance to ask instead.
type askError struct {
	refusal  *verdict.Error
	instance string
}

// Error implements the error interface.
func (e *askError) Error() string { return e.refusal.Error() }

// Unwrap lets errors.As find the verdict.
func (e *askError) Unwrap() error { return e.refusal }

func askOther(d suspect.Decision) error { return &askError{refusal: d.Err, instance: d.Ask} }

// ended tells admission and the crash watch that a run has ended, and returns the error for the
// router, which must not take a broken engine for a broken connection to this sidecar.
func (s *Sidecar) ended(granted *grant, err error) error {
	if isCrashSign(err) {
		err = engineError(err, s.crashes.broken())
	}
	granted.Done(err == nil)
	s.kernel.Counters.Map("runs").Add(verdict.Of(err).String(), 1)
	return err
}

// engineError names the cause of a broken run. A run that was not dispatched says nothing about the
// request, so it is not called a crash.
func engineError(err error, crashed bool) error {
	v := verdict.Of(err)
	switch {
	case v == verdict.NotRun:
		return verdict.Wrap(v, verdict.ReasonNotReady, err)
	case crashed:
		return verdict.Wrap(v, verdict.ReasonEngineCrash, err)
	}
	return verdict.Wrap(v, verdict.ReasonEngineError, err)
}

// load is the news that goes with each answer.
func (s *Sidecar) load() *wire.Load {
	load := s.admission.Load()
	mean := s.pool.Mean()
	return &wire.Load{
		Incarnation: s.incarnation, Work: load.Work, Mean: uint64(mean.Of(load.Work)),
		Version: s.pool.LoadVersion(), ConfigRevision: s.store.Revision(), Leaving: s.leaving.Load(), NotReady: !load.Ready,
	}
}
