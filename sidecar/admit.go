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

// percent converts a factor to a percentage.
const percent = 100

// newController returns the admission controller, configured from the settings.
func (s *Sidecar) newController() (*admission.Controller, error) {
	configured := s.settings.Admission
	a := admission.DefaultSettings()
	a.FactorPercent = uint64(configured.BoundFactor * percent)
	a.OneRequestTokens = uint64(configured.OneRequestTokens)
	a.CapacityRequests = configured.MaxRequests
	a.CapacityTokens = uint64(configured.MaxTokens)
	a.QueueRequests = configured.MaxQueue
	return admission.NewController(a, poolMean{s.pool}, s.limiter)
}

// poolMean implements admission.Pool with the loads that the sidecars of the pool exchange.
type poolMean struct{ pool *membership.Pool }

// Mean implements admission.Pool.
func (p poolMean) Mean(own uint64) (uint64, int) {
	mean := p.pool.Mean()
	return mean.OtherWork + own, mean.Members
}

// grant is the permission to run one request. Admission and the crash suspect table count it until Done.
type grant struct {
	sidecar             *Sidecar
	admission           *admission.Grant
	suspectRun          *suspect.Run
	pendingPromptTokens uint64
	once                sync.Once
}

// Progress reports one more token of the response. The first call also reports the prompt as processed.
func (g *grant) Progress() {
	g.admission.Progress(g.pendingPromptTokens, 1)
	g.pendingPromptTokens = 0
}

// Done releases the load of the request; further calls have no effect. completed reports whether the backend
// server completed the request.
func (g *grant) Done(completed bool) {
	g.once.Do(func() {
		if g.suspectRun != nil {
			g.sidecar.suspects.Finish(g.suspectRun, completed)
		}
		g.admission.Done()
	})
}

// admit checks the request against the crash suspect table and waits for admission. It fails when ctx or the
// router's stream ends first. Its errors have the verdict not-run.
func (s *Sidecar) admit(ctx, stream context.Context, req *wire.ExecuteRequest) (*grant, error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream, cancel)()
	suspectRequest := suspect.Request{
		Fingerprint: req.GetFingerprint(), Group: req.GetDocumentGroup(),
		NamedByToken: req.GetByToken(), Isolate: req.GetIsolate(),
	}
	decision := s.suspects.Check(suspectRequest)
	if decision.Err != nil {
		return nil, newRedirectError(decision)
	}
	cached := s.prefixes.expectedCached(req)
	admitted, err := s.admission.Admit(waitCtx, admission.Request{
		Organisation: req.GetOrganisation(), PromptTokens: uint64(req.GetPromptTokens()),
		DecodeTokens: uint64(req.GetDecodeTokens()), CachedTokens: cached, AtMean: req.GetAtMean() && s.settings.Admission.AtMean,
		Isolate: decision.Isolate, Fingerprint: req.GetFingerprint(),
	})
	if err != nil {
		return nil, err
	}
	run, decision := s.suspects.Start(suspectRequest, decision.Isolate)
	if decision.Err != nil {
		admitted.Done()
		return nil, newRedirectError(decision)
	}
	return &grant{sidecar: s, admission: admitted, suspectRun: run, pendingPromptTokens: uint64(req.GetPromptTokens())}, nil
}

// redirectError is a refusal that names another instance to send the request to.
type redirectError struct {
	refusal  *verdict.Error
	instance string
}

// Error implements the error interface.
func (e *redirectError) Error() string { return e.refusal.Error() }

// Unwrap lets errors.As find the verdict.
func (e *redirectError) Unwrap() error { return e.refusal }

func newRedirectError(d suspect.Decision) error {
	return &redirectError{refusal: d.Err, instance: d.RedirectTo}
}

// finishRun releases the grant of a run that has ended and checks whether the backend server crashed. It
// returns the error for the router, with a reason that distinguishes a broken engine from a broken connection
// to this sidecar.
func (s *Sidecar) finishRun(granted *grant, err error) error {
	if mayBeCrash(err) {
		err = classifyEngineError(err, s.crashDetector.confirmCrash())
	}
	granted.Done(err == nil)
	s.kernel.Counters.Map("runs").Add(verdict.Of(err).String(), 1)
	return err
}

// classifyEngineError sets the reason of a broken run. A run that was not dispatched cannot have caused a
// crash, so it never gets the crash reason.
func classifyEngineError(err error, crashed bool) error {
	v := verdict.Of(err)
	switch {
	case v == verdict.NotRun:
		return verdict.Wrap(v, verdict.ReasonNotReady, err)
	case crashed:
		return verdict.Wrap(v, verdict.ReasonEngineCrash, err)
	}
	return verdict.Wrap(v, verdict.ReasonEngineError, err)
}

// loadReport returns the load that is attached to every reply.
func (s *Sidecar) loadReport() *wire.Load {
	load := s.admission.Load()
	mean := s.pool.Mean()
	return &wire.Load{
		Incarnation: s.incarnation, Work: load.Work, Mean: uint64(mean.PerMember(load.Work)),
		Version: s.pool.LoadVersion(), ConfigRevision: s.store.Revision(), Leaving: s.leaving.Load(), NotReady: !load.Ready,
	}
}
