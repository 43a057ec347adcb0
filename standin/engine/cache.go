package engine

import "container/list"

// prefixCache is a least-recently-used set of block hashes. It is guarded by the engine's mutex.
type prefixCache struct {
	maxBlocks int
	recency   *list.List // block hashes (uint64), most recently used first
	blocks    map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *prefixCache) contains(block uint64) bool { return c.blocks[block] != nil }

// cachedPrefix returns how many leading blocks are cached.
func (c *prefixCache) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if !c.contains(block) {
			return i
		}
	}
	return len(blocks)
}

// add caches the blocks of one text and returns which were stored and which evicted. The first block
// becomes the most recently used, because a later block is useless without the earlier ones.
func (c *prefixCache) add(blocks []uint64) (stored, removed []uint64) {
	blocks = blocks[:min(len(blocks), c.maxBlocks)]
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if element := c.blocks[block]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		stored = append(stored, block)
	}
	for len(c.blocks) > c.maxBlocks {
		block := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, block)
		removed = append(removed, block)
	}
	return stored, removed
}
