package admission

import "time"

// Grant is an admitted request. Its methods are safe for concurrent use.
type Grant struct {
	controller   *Controller
	organisation *organisation
	epoch        uint64
	// remaining is the work in tokens that is still counted, at least 1 until Done.
	remaining uint64
	// prompt and decode are the tokens by which Progress can still reduce remaining.
	prompt   uint64
	decode   uint64
	isolated bool
	done     bool
	// grantedAt is when the request was admitted.
	grantedAt time.Time
}

// Progress reduces the counted work by the prompt tokens processed and the tokens streamed since the last
// call. Tokens in excess of the request's estimate have no effect.
func (g *Grant) Progress(prompt, streamed uint64) {
	c := g.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.done || g.epoch != c.epoch {
		return
	}
	prompt = min(prompt, g.prompt)
	streamed = min(streamed, g.decode)
	g.prompt -= prompt
	g.decode -= streamed
	c.releaseTokens(g, min(prompt+streamed, g.remaining-1))
	c.dispatch()
}

// Done releases the remaining work. Only the first call of Done or Withdraw has an effect, and none has after Reset.
func (g *Grant) Done() { g.end(true) }

// Withdraw is Done for a request that did not run, so that its time says nothing about how long requests take.
func (g *Grant) Withdraw() { g.end(false) }

func (g *Grant) end(ran bool) {
	c := g.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	if g.epoch != c.epoch {
		return
	}
	c.releaseGrant(g)
	if ran {
		c.observeCompletion()
		c.urgency.completions.add(c.now())
		c.service.observe(c.now().Sub(g.grantedAt))
	}
	c.closeIfDrained()
	c.dispatch()
}

// Remaining returns the work in tokens that is still counted.
func (g *Grant) Remaining() uint64 {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	if g.done || g.epoch != g.controller.epoch {
		return 0
	}
	return g.remaining
}

// recordInFlightTokens publishes the counted work for Work and adds it to the history.
func (c *Controller) recordInFlightTokens() {
	c.publishedTokens.Store(c.inFlightTokens)
	c.history.add(c.now(), c.inFlightTokens)
}

// releaseTokens subtracts tokens of a grant from the work in flight.
func (c *Controller) releaseTokens(g *Grant, tokens uint64) {
	g.remaining -= tokens
	g.organisation.inFlightTokens -= tokens
	c.inFlightTokens -= tokens
	c.recordInFlightTokens()
}

// releaseGrant removes a finished grant from the work and requests in flight.
func (c *Controller) releaseGrant(g *Grant) {
	c.releaseTokens(g, g.remaining)
	g.organisation.inFlightRequests--
	c.inFlightRequests--
	if g.isolated {
		c.isolated = false
	}
}

// newGrant counts a request as in flight. The caller has checked that it may run.
func (c *Controller) newGrant(o *organisation, req *Request, work uint64) *Grant {
	if c.onGrant != nil {
		c.onGrant(c, req.Isolate, work)
	}
	prompt := min(req.PromptTokens, maxTokens)
	prompt -= min(prompt, req.CachedTokens)
	g := &Grant{
		controller:   c,
		organisation: o,
		epoch:        c.epoch,
		remaining:    work,
		prompt:       prompt,
		decode:       min(req.DecodeTokens, maxTokens),
		isolated:     req.Isolate,
		grantedAt:    c.now(),
	}
	c.inFlightTokens += work
	c.inFlightRequests++
	o.inFlightTokens += work
	o.inFlightRequests++
	c.isolated = req.Isolate
	if c.settings.ByUrgency {
		c.urgency.levels[levelOf(req)].granted.add(c.now())
	}
	c.chargeVirtualTime(o, req, work)
	c.recordInFlightTokens()
	return g
}
