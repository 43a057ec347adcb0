package sidecar

import (
	"sync"

	"jacinthfork.example/jacinthfork/wire"
)

// maxPrefixes bounds the prefixes that a sidecar remembers.
const maxPrefixes = 16384

// prefixes estimates how many tokens of a prompt the engine has cached, from what it said about
// earlier requests of the same chat and document. It is safe for concurrent use.
type prefixes struct {
	mu     sync.Mutex
	tokens map[uint64]uint32
	// older holds the entries before the last turnover, so that memory is bounded and entries in use
	// survive.
	older map[uint64]uint32
}

func newPrefixes() *prefixes { return &prefixes{tokens: make(map[uint64]uint32)} }

// cached returns the expected number of cached tokens of a request.
func (p *prefixes) cached(req *wire.ExecuteRequest) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := max(p.get(req.GetChatHash()), p.get(req.GetDocumentGroup()))
	return uint64(min(known, req.GetPromptTokens()))
}

func (p *prefixes) get(key uint64) uint32 {
	if key == 0 {
		return 0
	}
	if tokens, ok := p.tokens[key]; ok {
		return tokens
	}
	tokens, ok := p.older[key]
	if ok {
		p.put(key, tokens)
	}
	return tokens
}

func (p *prefixes) put(key uint64, tokens uint32) {
	if key == 0 {
		return
	}
	if len(p.tokens) >= maxPrefixes/2 {
		p.older, p.tokens = p.tokens, make(map[uint64]uint32)
	}
	p.tokens[key] = tokens
}

// ran takes what the engine reported about a finished request: the chat's whole prompt is cached
// now, and of the document what was found cached.
func (p *prefixes) ran(req *wire.ExecuteRequest, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(req.GetChatHash(), req.GetPromptTokens())
	p.put(req.GetDocumentGroup(), uint32(max(cachedTokens, 0)))
}

// reset forgets everything, because the engine lost its cache.
func (p *prefixes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens, p.older = make(map[uint64]uint32), nil
}
