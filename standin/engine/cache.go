package engine

import "container/list"

// prefixCache is a least-recently-used set of block hashes. The caller holds the engine's mutex.
type prefixCache struct {
	limit   int        // blocks
	recency *list.List // of uint64, most recent first
	blocks  map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *prefixCache) has(block uint64) bool { return c.blocks[block] != nil }

// prefix returns the number of leading blocks that are cached.
func (c *prefixCache) prefix(blocks []uint64) int {
	for i, block := range blocks {
		if !c.has(block) {
			return i
		}
	}
	return len(blocks)
}

// add caches the blocks of one text, the first of them as the most recent, because a later block is
// useless without the earlier ones. It returns what was stored and removed.
func (c *prefixCache) add(blocks []uint64) (stored, removed []uint64) {
	blocks = blocks[:min(len(blocks), c.limit)]
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if element := c.blocks[block]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		stored = append(stored, block)
	}
	for len(c.blocks) > c.limit {
		block := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, block)
		removed = append(removed, block)
	}
	return stored, removed
}
