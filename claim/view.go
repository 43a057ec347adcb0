package claim

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
)

// Approximate heap sizes in bytes, used for the memory bound; see BenchmarkMemory.
const (
	streamBytes   = 1024
	heldKeyBytes  = 130
	claimBytes    = 56
	releasedBytes = 40
	outcomeBytes  = 80
)

type holder struct {
	instance    string
	incarnation uint64
}

// held is a claim that was not released.
type held struct {
	nonce       id
	fingerprint id
	holder      *holder
}

// ended is the outcome of a key. The answer is nil when it was dropped from memory or omitted from
// the record.
type ended struct {
	nonce       id
	fingerprint id
	offset      uint64
	inLog       bool
	ran         bool
	omitted     bool
	answer      *Outcome
}

// keyState is what the stream says about one key.
type keyState struct {
	claims     []held // in log order
	outcome    *ended
	settlement *claimpb.Settlement
}

// view is the state of one stream as a function of its records below next, plus the outcomes and
// releases of this instance that are not in the log yet.
type view struct {
	next     uint64
	keys     map[id]*keyState
	released map[id]struct{}
	holders  map[holder]*holder
	// kept are the outcomes whose answers are in memory and can be read from the log again.
	kept  []*ended
	bytes int64
}

func newView() *view {
	return &view{
		keys:     make(map[id]*keyState),
		released: make(map[id]struct{}),
		holders:  make(map[holder]*holder),
		bytes:    streamBytes,
	}
}

func decode(payload []byte) ([]*claimpb.Entry, error) {
	var batch claimpb.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return nil, err
	}
	for _, e := range batch.GetEntries() {
		if e.GetKind() == nil || len(e.GetKey()) != len(id{}) || len(e.GetNonce()) != len(id{}) {
			return nil, fmt.Errorf("entry of an unknown kind or with a malformed key or nonce")
		}
	}
	return batch.GetEntries(), nil
}

// apply adds one entry. offset is its record; inLog is false for an entry that is not stored yet.
func (v *view) apply(e *claimpb.Entry, offset uint64, inLog bool) {
	key, nonce := idOf(e.GetKey()), idOf(e.GetNonce())
	switch kind := e.GetKind().(type) {
	case *claimpb.Entry_Claim:
		v.applyClaim(key, nonce, kind.Claim)
	case *claimpb.Entry_Outcome:
		v.applyOutcome(key, nonce, kind.Outcome, offset, inLog)
	case *claimpb.Entry_Release:
		v.applyRelease(key, nonce)
	case *claimpb.Entry_Settlement:
		v.state(key).settlement = kind.Settlement
	}
}

func (v *view) state(key id) *keyState {
	s := v.keys[key]
	if s == nil {
		s = new(keyState)
		v.keys[key] = s
		v.bytes += heldKeyBytes
	}
	return s
}

func (v *view) applyClaim(key, nonce id, c *claimpb.Claim) {
	if _, released := v.released[nonce]; released {
		return
	}
	s := v.state(key)
	if s.outcome != nil || s.claim(nonce) != nil {
		return
	}
	s.claims = append(s.claims, held{
		nonce:       nonce,
		fingerprint: idOf(c.GetFingerprint()),
		holder:      v.intern(holder{c.GetInstance(), c.GetIncarnation()}),
	})
	v.bytes += claimBytes
}

func (v *view) intern(h holder) *holder {
	known := v.holders[h]
	if known == nil {
		known = &h
		v.holders[h] = known
	}
	return known
}

func (v *view) applyOutcome(key, nonce id, o *claimpb.Outcome, offset uint64, inLog bool) {
	s := v.state(key)
	if s.outcome != nil {
		if s.outcome.nonce == nonce && inLog && !s.outcome.inLog {
			s.outcome.offset = offset
			s.outcome.inLog = true
			v.keep(s.outcome)
		}
		return
	}
	end := &ended{nonce: nonce, offset: offset, inLog: inLog, omitted: o.GetAnswerOmitted()}
	end.ran = o.GetVerdict() == claimpb.Outcome_RAN
	if c := s.claim(nonce); c != nil {
		end.fingerprint = c.fingerprint
	}
	if end.ran && !end.omitted {
		end.answer = answerOf(o)
	}
	s.outcome = end
	v.bytes += outcomeBytes + answerBytes(end.answer) - claimBytes*int64(len(s.claims))
	s.claims = nil
	v.keep(end)
}

func (v *view) keep(end *ended) {
	if end.inLog && end.answer != nil {
		v.kept = append(v.kept, end)
	}
}

func (v *view) applyRelease(key, nonce id) {
	if _, known := v.released[nonce]; known {
		return
	}
	v.released[nonce] = struct{}{}
	v.bytes += releasedBytes
	s := v.keys[key]
	if s == nil {
		return
	}
	for i := range s.claims {
		if s.claims[i].nonce == nonce {
			s.claims = append(s.claims[:i], s.claims[i+1:]...)
			v.bytes -= claimBytes
			return
		}
	}
}

// dropAnswers frees the answers that can be read from the log again.
func (v *view) dropAnswers() {
	for _, end := range v.kept {
		v.bytes -= answerBytes(end.answer)
		end.answer = nil
	}
	v.kept = nil
}

func (s *keyState) claim(nonce id) *held {
	for i := range s.claims {
		if s.claims[i].nonce == nonce {
			return &s.claims[i]
		}
	}
	return nil
}

func answerOf(o *claimpb.Outcome) *Outcome {
	out := &Outcome{Status: int(o.GetStatus()), Body: o.GetBody()}
	for _, h := range o.GetHeaders() {
		out.Headers = append(out.Headers, Header{string(h.GetName()), string(h.GetValue())})
	}
	return out
}

func answerBytes(o *Outcome) int64 {
	if o == nil {
		return 0
	}
	size := len(o.Body) + 64
	for _, h := range o.Headers {
		size += len(h.Name) + len(h.Value) + 32
	}
	return int64(size)
}
