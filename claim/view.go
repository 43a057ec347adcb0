package claim

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
)

// Approximate heap sizes in bytes, used for the memory limit; see BenchmarkViewHeap.
const (
	streamBytes   = 1024
	keyStateBytes = 130
	claimBytes    = 56
	releasedBytes = 40
	outcomeBytes  = 80
)

type holder struct {
	instance    string
	incarnation uint64
}

// openClaim is a claim that was not released.
type openClaim struct {
	nonce       id
	fingerprint id
	holder      *holder
}

// recordedOutcome is the outcome of a key. response is nil if it was dropped from memory or omitted from the
// record.
type recordedOutcome struct {
	nonce           id
	fingerprint     id
	offset          uint64
	inLog           bool
	ran             bool
	responseOmitted bool
	response        *Outcome
}

// keyState is the state of one key according to the stream.
type keyState struct {
	claims     []openClaim // in log order
	outcome    *recordedOutcome
	settlement *claimpb.Settlement
}

// view is the state of one stream: the result of applying its records below offset next, and the outcomes and
// releases of this instance that are not in the log yet.
type view struct {
	next     uint64
	keys     map[id]*keyState
	released map[id]struct{}
	holders  map[holder]*holder
	// evictable are the outcomes whose responses are in memory and can be read from the log again.
	evictable []*recordedOutcome
	bytes     int64
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

// apply applies one entry. offset is that of its record; inLog is false for an entry that is not stored yet.
func (v *view) apply(e *claimpb.Entry, offset uint64, inLog bool) {
	key, nonce := idFromBytes(e.GetKey()), idFromBytes(e.GetNonce())
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
		v.bytes += keyStateBytes
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
	s.claims = append(s.claims, openClaim{
		nonce:       nonce,
		fingerprint: idFromBytes(c.GetFingerprint()),
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
			v.addEvictable(s.outcome)
		}
		return
	}
	recorded := &recordedOutcome{nonce: nonce, offset: offset, inLog: inLog, responseOmitted: o.GetAnswerOmitted()}
	recorded.ran = o.GetVerdict() == claimpb.Outcome_RAN
	if c := s.claim(nonce); c != nil {
		recorded.fingerprint = c.fingerprint
	}
	if recorded.ran && !recorded.responseOmitted {
		recorded.response = responseOf(o)
	}
	s.outcome = recorded
	v.bytes += outcomeBytes + responseBytes(recorded.response) - claimBytes*int64(len(s.claims))
	s.claims = nil
	v.addEvictable(recorded)
}

func (v *view) addEvictable(recorded *recordedOutcome) {
	if recorded.inLog && recorded.response != nil {
		v.evictable = append(v.evictable, recorded)
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

// dropResponses drops from memory the responses that can be read from the log again.
func (v *view) dropResponses() {
	for _, recorded := range v.evictable {
		v.bytes -= responseBytes(recorded.response)
		recorded.response = nil
	}
	v.evictable = nil
}

func (s *keyState) claim(nonce id) *openClaim {
	for i := range s.claims {
		if s.claims[i].nonce == nonce {
			return &s.claims[i]
		}
	}
	return nil
}

func responseOf(o *claimpb.Outcome) *Outcome {
	out := &Outcome{Status: int(o.GetStatus()), Body: o.GetBody()}
	for _, h := range o.GetHeaders() {
		out.Headers = append(out.Headers, Header{string(h.GetName()), string(h.GetValue())})
	}
	return out
}

func responseBytes(o *Outcome) int64 {
	if o == nil {
		return 0
	}
	size := len(o.Body) + 64
	for _, h := range o.Headers {
		size += len(h.Name) + len(h.Value) + 32
	}
	return int64(size)
}
