package suspect

// RecordCrashOf records that a backend server crashed while the requests with the given fingerprints were in
// flight on it. It is for routers that send work to backend servers directly. Each router reports the same
// crash separately, with its own requests only. The result is the number of fingerprints in the table.
func (t *Table) RecordCrashOf(fingerprints []uint64) int {
	return t.RecordCrashWhileAnswering(fingerprints, nil)
}

// RecordCrashWhileAnswering records the same crash for requests that the backend server was already answering as well. They
// are not its likely cause, so that it never counts as one of theirs alone.
func (t *Table) RecordCrashWhileAnswering(fingerprints, answered []uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.crashSeq++
	id := t.crashID()
	record := func(fingerprint uint64, alone bool) {
		e := t.getOrCreate(fingerprint, now)
		t.mergeEvidence(e, []crash{{id: id, alone: alone}}, now, now)
	}
	for _, fingerprint := range fingerprints {
		record(fingerprint, len(fingerprints)+len(answered) == 1)
	}
	for _, fingerprint := range answered {
		record(fingerprint, false)
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
