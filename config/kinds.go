package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Kind is the type of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindPool         Kind = "pool"
	KindOrganisation Kind = "organisation"
	KindModel        Kind = "model"
)

const (
	// maxBody is the maximum size of the body of an object in bytes.
	maxBody = 64 << 10
	// maxName is the maximum length of names, authors and nonces in bytes.
	maxName = 200
)

// bodyParsers decode and validate bodies by kind and schema version. The rules of a published schema version
// never change. A new rule needs a new version, because nodes with older software would otherwise disagree
// about what is in force.
var bodyParsers = map[Kind]map[uint32]func([]byte) (any, error){
	KindPool:         {1: parsePoolV1, 2: parsePoolV2},
	KindOrganisation: {1: parseOrganisation},
	KindModel:        {1: parseModel},
}

// Check returns an error unless body is valid for the object. Unknown kinds and schema versions are errors.
func Check(key Key, body []byte) error {
	_, err := parse(key, body)
	return err
}

// schemaKnown reports whether this software knows the kind and schema version.
func schemaKnown(key Key) bool {
	_, ok := bodyParsers[key.Kind][key.Schema]
	return ok
}

// parse validates the key and decodes the body.
func parse(key Key, body []byte) (any, error) {
	versions, ok := bodyParsers[key.Kind]
	if !ok {
		return nil, fmt.Errorf("kind %q is not one of %v", key.Kind, slices.Sorted(maps.Keys(bodyParsers)))
	}
	parser, ok := versions[key.Schema]
	if !ok {
		return nil, fmt.Errorf("schema version %d of kind %q is not supported by this version of the software", key.Schema, key.Kind)
	}
	if key.Name == "" || len(key.Name) > maxName {
		return nil, fmt.Errorf("name has %d bytes, must have 1 to %d", len(key.Name), maxName)
	}
	if len(body) > maxBody {
		return nil, fmt.Errorf("body has %d bytes, more than %d", len(body), maxBody)
	}
	value, err := parser(body)
	if err != nil {
		return nil, fmt.Errorf("%s %q v%d: %w", key.Kind, key.Name, key.Schema, err)
	}
	return value, nil
}

// decodeStrict decodes one JSON object into target. Unknown keys and trailing data are errors.
func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the object")
	}
	return nil
}

// number is the constraint for numeric settings.
type number interface {
	~int | ~int64 | ~float64 | ~uint32
}

// checkRange returns an error that names key unless low <= value <= high. NaN is always out of range.
func checkRange[N number](key string, value, low, high N) error {
	if value >= low && value <= high {
		return nil
	}
	return fmt.Errorf("%s is %v, must be %v to %v", key, value, low, high)
}

// Organisation is schema version 1 of kind organisation. Its limits apply to the whole fleet; 0 means no
// limit.
type Organisation struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensInFlight limits the sum of uncached prompt tokens and expected decode tokens in flight.
	TokensInFlight int64 `json:"tokens_in_flight"`
	// Weight is the share of capacity relative to other organisations.
	Weight float64 `json:"weight"`
}

// DefaultOrganisation applies to organisations without a configuration object.
var DefaultOrganisation = Organisation{Weight: 1}

func parseOrganisation(body []byte) (any, error) {
	o := DefaultOrganisation
	if err := decodeStrict(body, &o); err != nil {
		return nil, err
	}
	return o, errors.Join(
		checkRange("requests_per_second", o.RequestsPerSecond, 0, 1e6),
		checkRange("tokens_in_flight", o.TokensInFlight, 0, 1e12),
		checkRange("weight", o.Weight, 0.001, 1000),
	)
}

// Model is schema version 1 of kind model.
type Model struct {
	// ContextTokens is the maximum number of tokens of a prompt and its response together.
	ContextTokens int64 `json:"context_tokens"`
	// DefaultDecodeTokens is the expected number of output tokens of a request that does not set a maximum.
	DefaultDecodeTokens int64 `json:"default_decode_tokens"`
	// WeightsBytes is the size of the weights that an engine loads from the weight store.
	WeightsBytes int64    `json:"weights_bytes"`
	Adapters     []string `json:"adapters"`
}

func parseModel(body []byte) (any, error) {
	m := Model{ContextTokens: 32768, DefaultDecodeTokens: 256}
	if err := decodeStrict(body, &m); err != nil {
		return nil, err
	}
	return m, errors.Join(
		checkRange("context_tokens", m.ContextTokens, 1, 1<<30),
		checkRange("default_decode_tokens", m.DefaultDecodeTokens, 1, m.ContextTokens),
		checkRange("weights_bytes", m.WeightsBytes, 0, 1<<50),
	)
}
