package pool

// ComputedTokens returns the number of prompt tokens that the instance has to compute for the request.
func (l *Lease) ComputedTokens() int {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	return l.prefillTokens
}

// Full reports whether the instance is thought to have a request in each of its slots.
func (l *Lease) Full() bool {
	return l.Instance.Slots > 0 && l.Load >= float64(l.Instance.Slots)
}

// Keep records that the request was cancelled and that its place counts until Release as if it ran on. No progress is
// expected of it.
func (l *Lease) Keep() {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	if !l.released && !l.kept {
		l.kept = true
		l.member.kept++
	}
}
