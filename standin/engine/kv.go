package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"jacinthfork.example/jacinthfork/standin"
)

// KVExport is the exported cache of one group, the body of GET and PUT /kv/{group}.
type KVExport struct {
	Group string `json:"group"`
	// Weights and BlockTokens must equal those of the importing engine.
	Weights     string `json:"weights"`
	BlockTokens int    `json:"block_tokens"`
	// Blocks are block hashes in hexadecimal, in prompt order.
	Blocks []string `json:"blocks"`
}

// cacheBlocks caches the blocks of a text and adds them to its group. The caller holds mu.
func (e *Engine) cacheBlocks(group string, blocks []uint64) {
	stored, removed := e.cache.add(blocks)
	e.addEvent(EventStored, group, stored)
	e.addEvent(EventRemoved, "", removed)
	if group == "" {
		return
	}
	kept := slices.DeleteFunc(e.groups[group], func(b uint64) bool { return !e.cache.contains(b) })
	known := make(map[uint64]bool, len(kept))
	for _, block := range kept {
		known[block] = true
	}
	for _, block := range blocks {
		if !known[block] && e.cache.contains(block) {
			kept = append(kept, block)
		}
	}
	e.groups[group] = kept
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	kv := e.export(r.PathValue("group"))
	if len(kv.Blocks) == 0 {
		standin.WriteError(w, http.StatusNotFound, errors.New("nothing is cached for the group"))
		return
	}
	standin.WriteJSON(w, http.StatusOK, kv)
}

func (e *Engine) export(group string) KVExport {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := slices.DeleteFunc(slices.Clone(e.groups[group]), func(b uint64) bool { return !e.cache.contains(b) })
	e.counters.ExportedTokens += int64(len(cached) * e.settings.BlockTokens)
	return KVExport{group, e.orders.current.fingerprint(), e.settings.BlockTokens, formatBlocks(cached)}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KVExport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&kv); err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	blocks, err := parseBlocks(kv.Blocks)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err)
		return
	}
	kv.Group = r.PathValue("group")
	if err := e.importKV(kv, blocks); err != nil {
		standin.WriteError(w, http.StatusConflict, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) importKV(kv KVExport, blocks []uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if weights := e.orders.current.fingerprint(); kv.Weights != weights || kv.BlockTokens != e.settings.BlockTokens {
		return fmt.Errorf("export of %s in blocks of %d does not fit %s in blocks of %d",
			kv.Weights, kv.BlockTokens, weights, e.settings.BlockTokens)
	}
	e.cacheBlocks(kv.Group, blocks)
	e.counters.ImportedTokens += int64(len(blocks) * e.settings.BlockTokens)
	return nil
}
