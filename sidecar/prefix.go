package sidecar

import (
	"sync"

	"jacinthfork.example/jacinthfork/wire"
)

// maxPrefixEntries is the maximum number of entries in a prefixTable.
const maxPrefixEntries = 16384

// prefixTable estimates how many prompt tokens of a request the engine has cached, from what the engine
// reported for earlier requests of the same chat or document group. It is safe for concurrent use.
type prefixTable struct {
	mu sync.Mutex
	// current maps a chat or document group to its number of cached tokens.
	current map[uint64]uint32
	// previous is the former current table. It is replaced when current is full, which bounds memory; entries
	// that are looked up move to current.
	previous map[uint64]uint32
}

func newPrefixTable() *prefixTable { return &prefixTable{current: make(map[uint64]uint32)} }

// expectedCached returns the expected number of cached prompt tokens of a request.
func (p *prefixTable) expectedCached(req *wire.ExecuteRequest) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := max(p.get(req.GetChatHash()), p.get(req.GetDocumentGroup()))
	return uint64(min(known, req.GetPromptTokens()))
}

func (p *prefixTable) get(key uint64) uint32 {
	if key == 0 {
		return 0
	}
	if tokens, ok := p.current[key]; ok {
		return tokens
	}
	tokens, ok := p.previous[key]
	if ok {
		p.put(key, tokens)
	}
	return tokens
}

func (p *prefixTable) put(key uint64, tokens uint32) {
	if key == 0 {
		return
	}
	if len(p.current) >= maxPrefixEntries/2 {
		p.previous, p.current = p.current, make(map[uint64]uint32)
	}
	p.current[key] = tokens
}

// recordRun records a finished request: the whole prompt of the chat is cached now; for the document group it
// records the number of tokens that the engine found in its cache.
func (p *prefixTable) recordRun(req *wire.ExecuteRequest, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(req.GetChatHash(), req.GetPromptTokens())
	p.put(req.GetDocumentGroup(), uint32(max(cachedTokens, 0)))
}

// reset removes all entries. It is called when the engine has lost its cache.
func (p *prefixTable) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current, p.previous = make(map[uint64]uint32), nil
}
