package suspect

// RecordCrashOf records that a backend server crashed while the requests with the given fingerprints were in
// flight on it. It is for routers that send work to backend servers directly. Each router reports the same
// crash separately, with its own requests only. The result is the number of fingerprints in the table.
func (t *Table) RecordCrashOf(fingerprints []uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.crashSeq++
	id := t.crashID()
	for _, fingerprint := range fingerprints {
		e := t.getOrCreate(fingerprint, now)
		t.mergeEvidence(e, []crash{{id: id, alone: len(fingerprints) == 1}}, now, now)
	}
	t.excuseExplained()
	return len(t.entries)
}

// RecordCompletion records that a request ran to completion, which shows that it did not cause the crashes
// known so far. A refused request stays refused: it is held to have caused crashes, and one completion does
// not disprove that.
func (t *Table) RecordCompletion(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[fingerprint]
	if known && t.state(e, t.now()) != Refused {
		e.clear()
	}
}
