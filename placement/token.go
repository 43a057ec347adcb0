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

// Token identifies the instance that cached a chat's prefix. The caller stores it in encoded form.
type Token struct {
	// Group is the document group of the chat.
	Group uint64
	// Instance and Incarnation identify the sidecar that ran the last turn.
	Instance    string
	Incarnation uint64
	// Issued is when the token was issued, in whole seconds.
	Issued time.Time
}

// Layout of version 1 before base64url encoding: version, key ID, scope digest, group, incarnation,
// issue time in Unix seconds, length of the instance ID, instance ID, MAC of all preceding bytes.
const (
	tokenVersion     = 1
	keyIDSize        = 4
	scopeSize        = 16
	tokenHeaderSize  = 1 + keyIDSize + scopeSize + 8 + 8 + 8 + 1
	tokenMACSize     = 16
	maxInstanceBytes = 128
	// MaxTokenLength is the maximum length of an encoded token in characters.
	MaxTokenLength = (tokenHeaderSize + maxInstanceBytes + tokenMACSize + 2) / 3 * 4

	minKeyBytes = 16
	// maxClockSkew is how far in the future an issue time may be, because routers' clocks differ.
	maxClockSkew = time.Minute
)

// Errors returned by Keyring.Decode.
var (
	ErrTokenMalformed = errors.New("placement token is malformed")
	ErrTokenForged    = errors.New("placement token has no valid signature")
	ErrTokenForeign   = errors.New("placement token belongs to another organisation or pool")
	ErrTokenExpired   = errors.New("placement token has expired")
)

// Keyring signs and verifies tokens. It is safe for concurrent use.
type Keyring struct {
	keys          []signingKey
	maxAge        time.Duration
	now           func() time.Time
	decodeResults *expvar.Map
}

type signingKey struct {
	id     [keyIDSize]byte
	secret []byte
}

// NewKeyring returns a keyring that signs with the first secret and accepts tokens signed with any of
// them. To rotate keys, append the new secret on every router, then move it to the front, then remove
// the old one after maxAge. Results of Decode are counted in the counter map placement_tokens.
func NewKeyring(secrets [][]byte, maxAge time.Duration, counters *kernel.Counters) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, errors.New("placement token: at least one key is required")
	}
	r := &Keyring{maxAge: maxAge, now: time.Now, decodeResults: counters.Map("placement_tokens")}
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

// Encode returns the token, issued now, for the given organisation and pool. It returns "" if the
// instance ID is too long to encode.
func (r *Keyring) Encode(organisation, pool string, t Token) string {
	if len(t.Instance) > maxInstanceBytes {
		return ""
	}
	key := &r.keys[0]
	scope := scopeDigest(organisation, pool)
	raw := make([]byte, 0, tokenHeaderSize+len(t.Instance)+tokenMACSize)
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

// Decode verifies and decodes a token. On failure it returns one of the ErrToken values, and the request
// is placed as if it had no token.
func (r *Keyring) Decode(organisation, pool, text string) (Token, error) {
	t, err := r.decode(organisation, pool, text)
	switch err {
	case nil:
		r.decodeResults.Add("valid", 1)
	case ErrTokenForged:
		r.decodeResults.Add("forged", 1)
	case ErrTokenForeign:
		r.decodeResults.Add("foreign", 1)
	case ErrTokenExpired:
		r.decodeResults.Add("expired", 1)
	default:
		r.decodeResults.Add("malformed", 1)
	}
	return t, err
}

func (r *Keyring) decode(organisation, pool, text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, ErrTokenMalformed
	}
	// Strict rejects other encodings of the same bytes that differ in the unused bits of the last
	// character.
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || !wellFormed(raw) {
		return Token{}, ErrTokenMalformed
	}
	if !r.hasValidMAC(raw) {
		return Token{}, ErrTokenForged
	}
	scope := scopeDigest(organisation, pool)
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

// wellFormed reports whether the version and the length fit the layout.
func wellFormed(raw []byte) bool {
	if len(raw) < tokenHeaderSize+tokenMACSize || raw[0] != tokenVersion {
		return false
	}
	return len(raw) == tokenHeaderSize+int(raw[tokenHeaderSize-1])+tokenMACSize
}

// hasValidMAC reports whether the token was signed with a key of the keyring.
func (r *Keyring) hasValidMAC(raw []byte) bool {
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
		Instance:    string(raw[tokenHeaderSize : len(raw)-tokenMACSize]),
	}
}

// scopeDigest returns a digest of organisation and pool. The length prefix prevents two different pairs
// from producing the same input.
func scopeDigest(organisation, pool string) [scopeSize]byte {
	input := binary.BigEndian.AppendUint32(nil, uint32(len(organisation)))
	input = append(input, organisation...)
	input = append(input, pool...)
	sum := sha256.Sum256(input)
	return [scopeSize]byte(sum[:scopeSize])
}
