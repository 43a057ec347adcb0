package placement

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/kernel"
	"pgregory.net/rapid"
)

var (
	previousKey   = []byte("old key of 32 bytes for the tests")
	currentKey    = []byte("new key of 32 bytes for the tests")
	tokenTestTime = time.Unix(1_800_000_000, 0)
)

func testKeyring(t testing.TB, keys ...[]byte) (*Keyring, *kernel.Counters) {
	counters := kernel.NewCounters()
	r, err := NewKeyring(keys, time.Hour, counters)
	if err != nil {
		t.Fatal(err)
	}
	r.now = func() time.Time { return tokenTestTime }
	return r, counters
}

func exampleToken() Token {
	return Token{Group: 7, Instance: "limon-llm-3", Incarnation: 9, Issued: tokenTestTime}
}

// Tokens signed with the previous key must stay valid during a key rotation, and become invalid once the key
// is removed. Keys that are too short must be rejected.
func TestTokenIsValidUntilItsKeyIsRemoved(t *testing.T) {
	is := is.New(t)
	before, _ := testKeyring(t, previousKey)
	during, _ := testKeyring(t, currentKey, previousKey)
	after, counters := testKeyring(t, currentKey)
	text := before.Encode("org", "pool", exampleToken())
	got, err := during.Decode("org", "pool", text)
	is.NoErr(err)
	is.Equal(got, exampleToken())
	_, err = after.Decode("org", "pool", text)
	is.Equal(err, ErrTokenForged)
	is.Equal(counters.Map("placement_tokens").Get("forged").String(), "1")
	_, err = NewKeyring([][]byte{[]byte("short")}, time.Hour, counters)
	is.True(err != nil)
}

// Expired tokens, and tokens issued by a clock that is far ahead, must be rejected. Instance IDs that are
// too long must give no token, and all others a token of at most MaxTokenLength.
func TestTokenOutsideLifetimeIsRejected(t *testing.T) {
	is := is.New(t)
	r, _ := testKeyring(t, currentKey)
	text := r.Encode("org", "pool", exampleToken())
	for _, offset := range []time.Duration{time.Hour + time.Second, -2 * time.Minute} {
		r.now = func() time.Time { return tokenTestTime.Add(offset) }
		_, err := r.Decode("org", "pool", text)
		is.Equal(err, ErrTokenExpired)
	}
	is.Equal(r.Encode("org", "pool", Token{Instance: strings.Repeat("x", maxInstanceBytes+1)}), "")
	is.True(len(r.Encode("org", "pool", Token{Instance: strings.Repeat("x", maxInstanceBytes)})) <= MaxTokenLength)
}

// A token must be rejected for another organisation or pool, even if the concatenated names are equal,
// and after any change of its bytes or length.
func TestTokenIsBoundToOrganisationAndPool(t *testing.T) {
	r, _ := testKeyring(t, currentKey, previousKey)
	foreign, _ := testKeyring(t, []byte("a key that this fleet never used"))
	name := rapid.StringMatching(`[a-c]{0,4}`)
	proptest.Check(t, func(t *rapid.T) {
		org, pool := name.Draw(t, "org"), name.Draw(t, "pool")
		token := Token{rapid.Uint64().Draw(t, "group"), name.Draw(t, "instance"), rapid.Uint64().Draw(t, "incarnation"), tokenTestTime}
		text := r.Encode(org, pool, token)
		if got, err := r.Decode(org, pool, text); err != nil || got != token {
			t.Fatalf("own token: %v, %v", got, err)
		}
		otherOrg, otherPool := name.Draw(t, "other org"), name.Draw(t, "other pool")
		if _, err := r.Decode(otherOrg, otherPool, text); (err == nil) != (otherOrg == org && otherPool == pool) {
			t.Fatalf("token of %q/%q for %q/%q: %v", org, pool, otherOrg, otherPool, err)
		}
		if _, err := r.Decode(org, pool, foreign.Encode(org, pool, token)); err != ErrTokenForged {
			t.Fatalf("token of another fleet: %v", err)
		}
		if _, err := r.Decode(org, pool, corruptToken(t, text)); err == nil {
			t.Fatal("damaged token accepted")
		}
	})
}

// corruptToken flips one bit of the token or truncates it.
func corruptToken(t *rapid.T, text string) string {
	if rapid.Bool().Draw(t, "cut") {
		return text[:rapid.IntRange(0, len(text)-1).Draw(t, "length")]
	}
	raw, _ := base64.RawURLEncoding.DecodeString(text)
	bit := rapid.IntRange(0, len(raw)*8-1).Draw(t, "bit")
	raw[bit/8] ^= 1 << (bit % 8)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// The decoder processes untrusted input from callers. It must neither panic nor accept a token that the
// keyring did not sign.
func FuzzTokenDecode(f *testing.F) {
	r, _ := testKeyring(f, currentKey, previousKey)
	f.Add(r.Encode("org", "pool", exampleToken()))
	f.Add("")
	f.Add("AQ")
	f.Add(strings.Repeat("A", MaxTokenLength+1))
	f.Fuzz(func(t *testing.T, text string) {
		token, err := r.Decode("org", "pool", text)
		if err == nil && r.Encode("org", "pool", token) != text {
			t.Fatalf("accepted %q, which was not signed by the first key", text)
		}
	})
}
