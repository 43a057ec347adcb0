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
	// Key is the client's UUIDv7, bare or in the double quotes of the Idempotency-Key header.
	Key string
	// Body is compared, by its SHA-256, with the body of an earlier request with the same key.
	Body []byte
}

// Header is one header field of a response.
type Header struct {
	Name  string
	Value string
}

// Outcome is the response of the backend server.
type Outcome struct {
	Status  int
	Headers []Header
	Body    []byte
}

// id is a key hash, body fingerprint or nonce. With 128 bits an accidental collision is negligible, and each
// claim in memory takes half the space that it would with full SHA-256 hashes.
type id [16]byte

func idFromBytes(b []byte) id {
	var out id
	copy(out[:], b)
	return out
}

func newNonce() id { return id(uuid.New()) }

// keyedAction is an action with its parsed key, hashes and stream.
type keyedAction struct {
	action      Action
	keyText     string
	keyHash     id
	fingerprint id
	time        time.Time
	stream      string
}

// Layout determines the stream of a key. It must be the same on all routers and sidecars of a pool.
type Layout struct {
	Pool       string
	Partitions int
	// Bucket is the length of the range of key times that share a stream.
	Bucket time.Duration
}

// Stream returns the name of the stream of the action's key. A router that sends all actions of one stream to
// one sidecar makes that sidecar the stream's only writer, which avoids reads of other writers' records and
// lets more entries share an append. The error for an invalid key is a *verdict.Error.
func (l Layout) Stream(a Action) (string, error) {
	key, err := parseKey(a.Key)
	if err != nil {
		return "", err
	}
	return l.streamFor(l.scopeHash(a, key), keyTime(key)), nil
}

func (l Layout) scopeHash(a Action, key uuid.UUID) id {
	return hashFields(a.Organisation, l.Pool, a.Method, a.Path, key.String())
}

func (l Layout) streamFor(scope id, at time.Time) string {
	partition := int(binary.BigEndian.Uint64(scope[:]) % uint64(l.Partitions))
	return l.streamName(partition, l.bucket(at))
}

func (l Layout) streamName(partition int, bucket int64) string {
	return fmt.Sprintf("claims/%s/%d/%d", url.PathEscape(l.Pool), partition, bucket)
}

func (l Layout) bucket(t time.Time) int64 { return t.UnixMilli() / l.Bucket.Milliseconds() }

func (k *Executor) parseAction(a Action) (keyedAction, error) {
	key, err := parseKey(a.Key)
	if err != nil {
		return keyedAction{}, err
	}
	keyed := keyedAction{action: a, keyText: key.String(), time: keyTime(key)}
	keyed.keyHash = k.layout.scopeHash(a, key)
	sum := sha256.Sum256(a.Body)
	keyed.fingerprint = idFromBytes(sum[:])
	keyed.stream = k.layout.streamFor(keyed.keyHash, keyed.time)
	return keyed, nil
}

// hashFields hashes the fields with length prefixes, so that no two scopes have the same hash input.
func hashFields(fields ...string) id {
	h := sha256.New()
	for _, f := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		_, _ = io.WriteString(h, f)
	}
	return idFromBytes(h.Sum(nil))
}

// uuidTextLength is the length of the canonical form. uuid.Parse also accepts other forms.
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

// keyTime returns the time of a UUIDv7, whose first 48 bits are a Unix time in milliseconds.
func keyTime(key uuid.UUID) time.Time {
	ms := binary.BigEndian.Uint64(key[:8]) >> 16
	return time.UnixMilli(int64(ms))
}

// checkWindow returns an error for a key whose time is outside the acceptance window.
func (k *Executor) checkWindow(keyed keyedAction) error {
	now := k.opts.Now()
	if keyed.time.Before(now.Add(-k.opts.Window)) {
		return verdict.New(verdict.Unknown, verdict.ReasonKeyExpired, fmt.Sprintf(
			"key is from %s, before the window of %v; this request was not dispatched, but the record of an earlier one may have expired",
			keyed.time.UTC().Format(time.RFC3339), k.opts.Window))
	}
	ahead := keyed.time.Sub(now) - k.opts.Skew
	if ahead <= 0 {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.ReasonKeyFromFuture, fmt.Sprintf(
		"key is from %s, more than %v ahead of this instance", keyed.time.UTC().Format(time.RFC3339), k.opts.Skew))
	// A sidecar whose clock is ahead by up to ClockError may have accepted the key.
	if ahead <= k.opts.ClockError {
		e.Verdict = verdict.Unknown
	}
	return e
}
