package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"jacinthfork.example/jacinthfork/config"
)

// record is the content of a configuration record file.
type record struct {
	config.Key
	// Base is the revision of the object that the record replaces, or 0 for a new object.
	Base uint64 `json:"base"`
	// Delete removes the object. Body must be empty then.
	Delete bool            `json:"delete,omitempty"`
	Author string          `json:"author,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// readRecord reads and validates a record. Its errors contain the file name.
func readRecord(file string) (record, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return record{}, err
	}
	var r record
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return record{}, fmt.Errorf("%s: %w", file, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return record{}, fmt.Errorf("%s: unexpected data after the record", file)
	}
	if err := r.validate(); err != nil {
		return record{}, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

func (r *record) validate() error {
	if !r.Delete {
		return config.Check(r.Key, r.Body)
	}
	if len(r.Body) > 0 {
		return errors.New("a record with \"delete\": true must not have a body")
	}
	if r.Kind == "" || r.Name == "" || r.Schema == 0 {
		return errors.New("kind, name and schema are required")
	}
	return nil
}

func (r *record) change(author, nonce string) config.Change {
	if author == "" {
		author = r.Author
	}
	return config.Change{Key: r.Key, Base: r.Base, Delete: r.Delete, Body: r.Body, Author: author, Nonce: nonce}
}
