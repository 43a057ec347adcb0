package placement

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"expvar"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
)

// Token names the instance that cached a chat's prefix. The caller keeps it in encoded form.
type Token struct {
	// Group is the document group of the chat.
	Group uint64
	// Instance and Incarnation name the sidecar that ran the last turn.
	Instance    string
	Incarnation uint64
	// Issued is when the token was made, in whole seconds.
	Issued time.Time
}

// Layout of version 1, before base64url: version, key ID, scope digest, group, incarnation, issue
// time in Unix seconds, length of the instance ID, instance ID, MAC over everything before it.
const (
	tokenVersion     = 1
	keyIDSize        = 4
	scopeSize        = 16
	tokenHeader      = 1 + keyIDSize + scopeSize + 8 + 8 + 8 + 1
	tokenMACSize     = 16
	maxInstanceBytes = 128
	// MaxTokenLength is the length in characters of the longest token.
	MaxTokenLength = (tokenHeader + maxInstanceBytes + tokenMACSize + 2) / 3 * 4

	minKeyBytes = 16
	// maxClockSkew is how far in the future an issue time may lie, because routers' clocks differ.
	maxClockSkew = time.Minute
)

// Reasons why a token is ignored.
var (
	ErrTokenMalformed = errors.New("placement token is malformed")
	ErrTokenForged    = errors.New("placement token has no valid signature")
	ErrTokenForeign   = errors.New("placement token belongs to another organisation or pool")
	ErrTokenExpired   = errors.New("placement token has expired")
)

// Keyring signs and verifies tokens. It is safe for concurrent use.
type Keyring struct {
	keys   []signingKey
	maxAge time.Duration
	now    func() time.Time
	counts *expvar.Map
}

type signingKey struct {
	id     [keyIDSize]byte
	secret []byte
}

// NewKeyring returns a keyring that signs with the first secret and accepts tokens of all of them.
// To rotate, add the new secret at the end on every router, then move it to the front, then remove
// the old one after maxAge. Results of Decode are counted in the counter map placement_tokens.
func NewKeyring(secrets [][]byte, maxAge time.Duration, counters *kernel.Counters) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, errors.New("placement token: at least one key is required")
	}
	r := &Keyring{maxAge: maxAge, now: time.Now, counts: counters.Map("placement_tokens")}
	for i, secret := range secrets {
		if len(secret) < minKeyBytes {
			return nil, fmt.Errorf("placement token: key %d has %d bytes, at least %d are required", i, len(secret), minKeyBytes)
		}
		key := signingKey{secret: append([]byte(nil), secret...)}
		copy(key.id[:], key.mac([]byte("placement token key id")))
		r.keys = append(r.keys, key)
	}
	return r, nil
}

func (k *signingKey) mac(message []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(message)
	return h.Sum(nil)[:tokenMACSize]
}

// Encode returns the token for the given organisation and pool, issued now. It returns "" when
// the instance ID is too long to encode.
func (r *Keyring) Encode(organisation, pool string, t Token) string {
	if len(t.Instance) > maxInstanceBytes {
		return ""
	}
	key := &r.keys[0]
	scope := scopeOf(organisation, pool)
	raw := make([]byte, 0, tokenHeader+len(t.Instance)+tokenMACSize)
	raw = append(raw, tokenVersion)
	raw = append(raw, key.id[:]...)
	raw = append(raw, scope[:]...)
	raw = binary.BigEndian.AppendUint64(raw, t.Group)
	raw = binary.BigEndian.AppendUint64(raw, t.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, uint64(r.now().Unix()))
	raw = append(raw, byte(len(t.Instance)))
	raw = append(raw, t.Instance...)
	raw = append(raw, key.mac(raw)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode verifies a token. The error is one of the ErrToken values and the request is then placed
// as if it had no token.
func (r *Keyring) Decode(organisation, pool, text string) (Token, error) {
	t, err := r.decode(organisation, pool, text)
	switch err {
	case nil:
		r.counts.Add("valid", 1)
	case ErrTokenForged:
		r.counts.Add("forged", 1)
	case ErrTokenForeign:
		r.counts.Add("foreign", 1)
	case ErrTokenExpired:
		r.counts.Add("expired", 1)
	default:
		r.counts.Add("malformed", 1)
	}
	return t, err
}

func (r *Keyring) decode(organisation, pool, text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, ErrTokenMalformed
	}
	// Strict refuses a second spelling of the same bytes in the last character's unused bits.
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || !wellFormed(raw) {
		return Token{}, ErrTokenMalformed
	}
	if !r.signed(raw) {
		return Token{}, ErrTokenForged
	}
	scope := scopeOf(organisation, pool)
	if string(raw[1+keyIDSize:][:scopeSize]) != string(scope[:]) {
		return Token{}, ErrTokenForeign
	}
	t := parseToken(raw)
	age := r.now().Sub(t.Issued)
	if age > r.maxAge || age < -maxClockSkew {
		return Token{}, ErrTokenExpired
	}
	return t, nil
}

func wellFormed(raw []byte) bool {
	if len(raw) < tokenHeader+tokenMACSize || raw[0] != tokenVersion {
		return false
	}
	return len(raw) == tokenHeader+int(raw[tokenHeader-1])+tokenMACSize
}

func (r *Keyring) signed(raw []byte) bool {
	message, mac := raw[:len(raw)-tokenMACSize], raw[len(raw)-tokenMACSize:]
	for i := range r.keys {
		key := &r.keys[i]
		if string(key.id[:]) == string(raw[1:1+keyIDSize]) && hmac.Equal(key.mac(message), mac) {
			return true
		}
	}
	return false
}

func parseToken(raw []byte) Token {
	numbers := raw[1+keyIDSize+scopeSize:]
	return Token{
		Group:       binary.BigEndian.Uint64(numbers),
		Incarnation: binary.BigEndian.Uint64(numbers[8:]),
		Issued:      time.Unix(int64(binary.BigEndian.Uint64(numbers[16:])), 0),
		Instance:    string(raw[tokenHeader : len(raw)-tokenMACSize]),
	}
}

// scopeOf returns a digest of organisation and pool. The length prefix keeps two different pairs
// from having the same input.
func scopeOf(organisation, pool string) [scopeSize]byte {
	input := binary.BigEndian.AppendUint32(nil, uint32(len(organisation)))
	input = append(input, organisation...)
	input = append(input, pool...)
	sum := sha256.Sum256(input)
	return [scopeSize]byte(sum[:scopeSize])
}
