package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// maxCacheEvents limits how many cache events are kept; readers miss older ones.
const maxCacheEvents = 4096

// EventKind says what happened to cache blocks.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// CacheEvent is one change of the prefix cache. A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Group is the X-Cache-Group header of the request that stored the blocks.
	Group string `json:"group,omitempty"`
	// Blocks are block hashes in hexadecimal.
	Blocks []string  `json:"blocks,omitempty"`
	Time   time.Time `json:"time"`
}

// EventsResponse is the body of GET /cache/events. Next is the value of the after parameter for the next
// request.
type EventsResponse struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// addEvent records an event, unless EventGapEvery drops it. The caller holds mu.
func (e *Engine) addEvent(kind EventKind, group string, blocks []uint64) {
	if len(blocks) == 0 && kind != EventCleared {
		return
	}
	e.lastEventSequence++
	gap := e.settings.EventGapEvery
	if gap > 0 && e.lastEventSequence%uint64(gap) == 0 {
		return
	}
	event := CacheEvent{Sequence: e.lastEventSequence, Kind: kind, Group: group, Blocks: formatBlocks(blocks), Time: time.Now()}
	e.events = append(e.events, event)
	if len(e.events) > maxCacheEvents {
		e.events = e.events[1:]
	}
}

// CacheEvents returns the visible events with a sequence number above after.
func (e *Engine) CacheEvents(after uint64) EventsResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.settings.EventLag)
	response := EventsResponse{Events: []CacheEvent{}, Next: after}
	for _, event := range e.events {
		if event.Time.After(visible) {
			break
		}
		if event.Sequence > after {
			response.Events = append(response.Events, event)
			response.Next = event.Sequence
		}
	}
	return response
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := parseUintParam(r, "after")
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, e.CacheEvents(after))
}

// parseUintParam parses a query parameter. A missing one is 0.
func parseUintParam(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return n, nil
}

func formatBlocks(blocks []uint64) []string {
	text := make([]string, len(blocks))
	for i, block := range blocks {
		text[i] = fmt.Sprintf("%016x", block)
	}
	return text
}

func parseBlocks(text []string) ([]uint64, error) {
	blocks := make([]uint64, len(text))
	for i, t := range text {
		block, err := strconv.ParseUint(t, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("block %d: %w", i, err)
		}
		blocks[i] = block
	}
	return blocks, nil
}
