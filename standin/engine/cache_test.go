package engine

import (
	"slices"
	"testing"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"pgregory.net/rapid"
)

// A cache that grows over its limit or that drops what was just used would give wrong figures of
// cache reuse. The cache is compared with a list in order of use.
func TestPrefixCacheProperty(t *testing.T) {
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
			if cache.prefix(blocks) != len(kept) {
				t.Fatalf("prefix is %d, want %d", cache.prefix(blocks), len(kept))
			}
			if len(before)+len(stored)-len(removed) != len(recent) {
				t.Fatalf("%d blocks, stored %d, removed %d, want %d", len(before), len(stored), len(removed), len(recent))
			}
			for b := range uint64(21) {
				if cache.has(b) != slices.Contains(recent, b) {
					t.Fatalf("block %d: cached is %t", b, cache.has(b))
				}
			}
		}
	})
}

// Requests come from callers; no body may crash the stand-in.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(chat("hello", true)), 16)
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`), 1)
	f.Fuzz(func(t *testing.T, body []byte, blockTokens int) {
		request, err := parseRequest(body)
		if err != nil {
			return
		}
		blocks := blockHashes(request.prompt(), max(1, blockTokens%1024))
		if len(blocks) > len(request.prompt()) || Answer(body) == "" {
			t.Fatal("too many blocks or no answer")
		}
	})
}
