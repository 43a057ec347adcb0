package gateway

import "sync"

// requestGroup are requests that end together when the router stops. Unlike a function that waits for the end of a context, a
// member takes no memory of its own. The zero value is empty. It is safe for concurrent use.
type requestGroup struct {
	mu      sync.Mutex
	members map[*requestState]struct{}
	// end is set once the group has ended.
	end func(*requestState)
}

// enter adds a request, or ends it if the group has ended.
func (g *requestGroup) enter(s *requestState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end != nil {
		g.end(s)
		return
	}
	if g.members == nil {
		g.members = make(map[*requestState]struct{})
	}
	g.members[s] = struct{}{}
}

// leave removes a request. It is not ended after that. It may be called more than once, and for a request that is no member.
func (g *requestGroup) leave(s *requestState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, s)
}

// endAll calls end for all members, and for each request that enters later. end must not call the group.
func (g *requestGroup) endAll(end func(*requestState)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end = end
	for s := range g.members {
		end(s)
	}
	clear(g.members)
}
