package suspect

// NoteCrash notes that a backend server crashed while requests of a router that sends work to it directly
// were in flight there, given by their fingerprints. Several routers report the same crash, each for
// its own requests. It returns how many fingerprints are known to the table now.
func (t *Table) NoteCrash(fingerprints []uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.crashSeq++
	id := t.crashID()
	for _, fingerprint := range fingerprints {
		e := t.entry(fingerprint, now)
		t.learn(e, []crash{{id: id, alone: len(fingerprints) == 1}}, now, now)
	}
	t.excuseExplained()
	return len(t.entries)
}

// Completed notes that a request ran to its end, which shows that it did not cause the crashes known
// so far. A refused request stays refused, because its evidence includes crashes that it explains.
func (t *Table) Completed(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[fingerprint]
	if known && t.state(e, t.now()) != Refused {
		e.clear()
	}
}
