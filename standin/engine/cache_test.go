package engine

import (
	"slices"
	"testing"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"pgregory.net/rapid"
)

// Compares the cache with a list in order of use. A cache that exceeds its limit or evicts blocks that were
// just used would give wrong cache reuse figures.
func TestPrefixCacheMatchesLRUModel(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		cache := newPrefixCache(limit)
		var recent []uint64 // most recent first
		for range rapid.IntRange(1, 20).Draw(t, "texts") {
			blocks := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 20), 0, 12, rapid.ID).Draw(t, "blocks")
			stored, removed := cache.add(blocks)
			before := recent
			kept := blocks[:min(len(blocks), limit)]
			recent = append(slices.Clone(kept), slices.DeleteFunc(slices.Clone(recent), func(b uint64) bool {
				return slices.Contains(kept, b)
			})...)
			recent = recent[:min(len(recent), limit)]
			if cache.cachedPrefix(blocks) != len(kept) {
				t.Fatalf("prefix is %d, want %d", cache.cachedPrefix(blocks), len(kept))
			}
			if len(before)+len(stored)-len(removed) != len(recent) {
				t.Fatalf("%d blocks, stored %d, removed %d, want %d", len(before), len(stored), len(removed), len(recent))
			}
			for b := range uint64(21) {
				if cache.contains(b) != slices.Contains(recent, b) {
					t.Fatalf("block %d: cached is %t", b, cache.contains(b))
				}
			}
		}
	})
}

// Request bodies come from callers, so none may crash the engine stand-in.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(chatBody("hello", true)), 16)
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`), 1)
	f.Fuzz(func(t *testing.T, body []byte, blockTokens int) {
		request, err := parseRequest(body)
		if err != nil {
			return
		}
		blocks := blockHashes(request.prompt(), max(1, blockTokens%1024))
		if len(blocks) > len(request.prompt()) || ExpectedContent(body) == "" {
			t.Fatal("too many blocks or no answer")
		}
	})
}
