package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// maxEvents bounds the kept cache events; older ones are lost to readers.
const maxEvents = 4096

// EventKind is what happened to cache blocks.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// CacheEvent is one change of the prefix cache. A gap in Sequence is a lost event.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Group is the X-Cache-Group header of the request that stored the blocks.
	Group string `json:"group,omitempty"`
	// Blocks are block hashes in hexadecimal.
	Blocks []string  `json:"blocks,omitempty"`
	Time   time.Time `json:"time"`
}

// EventsAnswer is the body of GET /cache/events. Next is the value of after for the next call.
type EventsAnswer struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// addEvent records an event unless it falls into a scripted gap. The caller holds mu.
func (e *Engine) addEvent(kind EventKind, group string, blocks []uint64) {
	if len(blocks) == 0 && kind != EventCleared {
		return
	}
	e.eventSequence++
	gap := e.settings.EventGapEvery
	if gap > 0 && e.eventSequence%uint64(gap) == 0 {
		return
	}
	event := CacheEvent{Sequence: e.eventSequence, Kind: kind, Group: group, Blocks: hexBlocks(blocks), Time: time.Now()}
	e.events = append(e.events, event)
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

// CacheEvents returns the visible events after the given sequence.
func (e *Engine) CacheEvents(after uint64) EventsAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.settings.EventLag)
	answer := EventsAnswer{Events: []CacheEvent{}, Next: after}
	for _, event := range e.events {
		if event.Time.After(visible) {
			break
		}
		if event.Sequence > after {
			answer.Events = append(answer.Events, event)
			answer.Next = event.Sequence
		}
	}
	return answer
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, e.CacheEvents(after))
}

// queryNumber reads a query parameter; a missing one is 0.
func queryNumber(r *http.Request, name string) (uint64, error) {
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

func hexBlocks(blocks []uint64) []string {
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
