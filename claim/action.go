package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"jacinthfork.example/jacinthfork/verdict"
)

// Action is one request for a non-idempotent action.
type Action struct {
	Organisation string
	Method       string
	// Path includes the query.
	Path string
	// Key is the caller's UUIDv7, bare or in the double quotes of the Idempotency-Key header.
	Key string
	// Body is compared by its SHA-256 with the body of an earlier request of the same key.
	Body []byte
}

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Outcome is the answer of the plain service.
type Outcome struct {
	Status  int
	Headers []Header
	Body    []byte
}

// id is a key hash, body fingerprint or nonce. 128 bits make an accidental collision negligible and
// halve the memory of each held claim against a full SHA-256.
type id [16]byte

func idOf(b []byte) id {
	var out id
	copy(out[:], b)
	return out
}

func newNonce() id { return id(uuid.New()) }

// hashed is an action in the form used by the protocol.
type hashed struct {
	action      Action
	keyText     string
	key         id
	fingerprint id
	time        time.Time
	stream      string
}

// Layout determines the stream of a key. It is the same at all routers and sidecars of a pool.
type Layout struct {
	Pool       string
	Partitions int
	// Bucket is the length of the key time that shares a stream.
	Bucket time.Duration
}

// Stream returns the name of the stream that holds the key of an action. A router that sends
// actions of one stream to one sidecar makes that sidecar its only writer, which saves gap reads
// and lets more entries share an append. The error is a *verdict.Error for an invalid key.
func (l Layout) Stream(a Action) (string, error) {
	key, err := parseKey(a.Key)
	if err != nil {
		return "", err
	}
	return l.stream(l.scope(a, key), keyTime(key)), nil
}

func (l Layout) scope(a Action, key uuid.UUID) id {
	return hashFields(a.Organisation, l.Pool, a.Method, a.Path, key.String())
}

func (l Layout) stream(scope id, at time.Time) string {
	partition := int(binary.BigEndian.Uint64(scope[:]) % uint64(l.Partitions))
	return l.name(partition, l.bucket(at))
}

func (l Layout) name(partition int, bucket int64) string {
	return fmt.Sprintf("claims/%s/%d/%d", url.PathEscape(l.Pool), partition, bucket)
}

func (l Layout) bucket(t time.Time) int64 { return t.UnixMilli() / l.Bucket.Milliseconds() }

func (k *Keeper) hash(a Action) (hashed, error) {
	key, err := parseKey(a.Key)
	if err != nil {
		return hashed{}, err
	}
	h := hashed{action: a, keyText: key.String(), time: keyTime(key)}
	h.key = k.layout.scope(a, key)
	sum := sha256.Sum256(a.Body)
	h.fingerprint = idOf(sum[:])
	h.stream = k.layout.stream(h.key, h.time)
	return h, nil
}

// hashFields hashes the fields with their lengths, so that no two scopes have the same input.
func hashFields(fields ...string) id {
	h := sha256.New()
	for _, f := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		_, _ = io.WriteString(h, f)
	}
	return idOf(h.Sum(nil))
}

// uuidTextLength excludes the other notations that uuid.Parse accepts.
const uuidTextLength = 36

func parseKey(text string) (uuid.UUID, error) {
	bare := text
	if len(text) >= 2 && strings.HasPrefix(text, `"`) && strings.HasSuffix(text, `"`) {
		bare = text[1 : len(text)-1]
	}
	key, err := uuid.Parse(bare)
	if err != nil || len(bare) != uuidTextLength || key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return key, verdict.New(verdict.NotRun, verdict.ReasonKeyInvalid, "Idempotency-Key is not a UUIDv7 (RFC 9562)")
	}
	return key, nil
}

// keyTime returns the Unix time in milliseconds that a UUIDv7 has in its first 48 bits.
func keyTime(key uuid.UUID) time.Time {
	ms := binary.BigEndian.Uint64(key[:8]) >> 16
	return time.UnixMilli(int64(ms))
}

// checkWindow refuses a key whose time is outside the acceptance window.
func (k *Keeper) checkWindow(h hashed) error {
	now := k.opts.Now()
	if h.time.Before(now.Add(-k.opts.Window)) {
		return verdict.New(verdict.Unknown, verdict.ReasonKeyExpired, fmt.Sprintf(
			"key is from %s, before the window of %v; this request was not dispatched, but the record of an earlier one may have expired",
			h.time.UTC().Format(time.RFC3339), k.opts.Window))
	}
	ahead := h.time.Sub(now) - k.opts.Skew
	if ahead <= 0 {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.ReasonKeyFuture, fmt.Sprintf(
		"key is from %s, more than %v ahead of this instance", h.time.UTC().Format(time.RFC3339), k.opts.Skew))
	// A sidecar whose clock is ahead by up to ClockError can have accepted the key.
	if ahead <= k.opts.ClockError {
		e.Verdict = verdict.Unknown
	}
	return e
}
