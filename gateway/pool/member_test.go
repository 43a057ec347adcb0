package pool

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a cache estimate that exceeds the engine's cache capacity.
func TestPromptCacheStaysWithinCapacity(t *testing.T) {
	is := is.New(t)
	c := newPromptCache(1000)
	for n := range uint64(50) {
		c.insert([]PromptPart{{ID: 1, Tokens: 100}, {ID: 100 + n, Tokens: 200}})
		is.True(c.used <= 1000)
	}
	is.Equal(c.cachedTokens([]PromptPart{{ID: 1, Tokens: 100}, {ID: 149, Tokens: 200}}), 300)
	is.Equal(c.cachedTokens([]PromptPart{{ID: 100, Tokens: 200}, {ID: 1, Tokens: 100}}), 0) // the first part was evicted
}
