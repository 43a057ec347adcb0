package admission

// Grant is admitted work. Its methods are safe for concurrent use.
type Grant struct {
	controller   *Controller
	organisation *organisation
	epoch        uint64
	// remaining is the counted work, at least 1 until Done.
	remaining uint64
	// prompt and decode are the parts of the work that Progress can still reduce.
	prompt   uint64
	decode   uint64
	isolated bool
	done     bool
}

// Progress reduces the counted work by prompt tokens that were processed and tokens that were
// streamed since the last call. Tokens beyond the expectation change nothing.
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
	c.reduce(g, min(prompt+streamed, g.remaining-1))
	c.dispatch()
}

// Done frees what remains of the work. Only the first call has an effect, and none after Reset.
func (g *Grant) Done() {
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
	c.release(g)
	c.dispatch()
}

// Remaining returns the work that is still counted, in tokens.
func (g *Grant) Remaining() uint64 {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	if g.done || g.epoch != g.controller.epoch {
		return 0
	}
	return g.remaining
}

// noteOwn records a change of the counted work.
func (c *Controller) noteOwn() {
	c.work.Store(c.own)
	c.history.add(c.now(), c.own)
}

// reduce lowers the counts by tokens of one grant.
func (c *Controller) reduce(g *Grant, tokens uint64) {
	g.remaining -= tokens
	g.organisation.tokens -= tokens
	c.own -= tokens
	c.noteOwn()
}

// release removes a grant from the counts.
func (c *Controller) release(g *Grant) {
	c.reduce(g, g.remaining)
	g.organisation.requests--
	c.inFlight--
	if g.isolated {
		c.isolated = false
	}
	c.observeCompletion()
	c.reportDrained()
}

// grant counts the request as in flight. The caller has checked that it may run.
func (c *Controller) grant(o *organisation, req *Request, work uint64) *Grant {
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
	}
	c.own += work
	c.inFlight++
	c.pace.lastAt = c.now()
	o.tokens += work
	o.requests++
	c.isolated = req.Isolate
	c.charge(o, req, work)
	c.noteOwn()
	return g
}
