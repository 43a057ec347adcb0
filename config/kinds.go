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

// Kind is a type of object.
type Kind string

// Kinds of objects.
const (
	KindPool         Kind = "pool"
	KindOrganisation Kind = "organisation"
	KindModel        Kind = "model"
)

const (
	// maxBody bounds the body of an object in bytes.
	maxBody = 64 << 10
	// maxName bounds names, authors and nonces in bytes.
	maxName = 200
)

// parsers decode and check a body. The rules of a published schema version never change; a new rule
// needs a new version, because nodes with older software would disagree about what is in force.
var parsers = map[Kind]map[uint32]func([]byte) (any, error){
	KindPool:         {1: parsePoolV1, 2: parsePoolV2},
	KindOrganisation: {1: parseOrganisation},
	KindModel:        {1: parseModel},
}

// Check says whether body is valid for the object. An unknown kind or schema version is an error.
func Check(key Key, body []byte) error {
	_, err := parse(key, body)
	return err
}

// known says whether this software knows the kind and schema version.
func known(key Key) bool {
	_, ok := parsers[key.Kind][key.Schema]
	return ok
}

func parse(key Key, body []byte) (any, error) {
	versions, ok := parsers[key.Kind]
	if !ok {
		return nil, fmt.Errorf("kind %q is not one of %v", key.Kind, slices.Sorted(maps.Keys(parsers)))
	}
	parser, ok := versions[key.Schema]
	if !ok {
		return nil, fmt.Errorf("schema version %d of kind %q is not known here", key.Schema, key.Kind)
	}
	if key.Name == "" || len(key.Name) > maxName {
		return nil, fmt.Errorf("name must have 1 to %d bytes", maxName)
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

// decode reads one JSON object into target and refuses unknown keys and trailing data.
func decode(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the object")
	}
	return nil
}

// number is any type of number that a setting can have.
type number interface {
	~int | ~int64 | ~float64 | ~uint32
}

// within returns an error that names key unless low <= value <= high. NaN is never within.
func within[N number](key string, value, low, high N) error {
	if value >= low && value <= high {
		return nil
	}
	return fmt.Errorf("%s is %v, must be %v to %v", key, value, low, high)
}

// Organisation is schema version 1 of kind organisation. Limits hold across the fleet; 0 means no
// limit of its own.
type Organisation struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensInFlight bounds the uncached prompt tokens and expected decode tokens in flight.
	TokensInFlight int64 `json:"tokens_in_flight"`
	// Weight is the share relative to other organisations.
	Weight float64 `json:"weight"`
}

// DefaultOrganisation holds for an organisation without a configuration object.
var DefaultOrganisation = Organisation{Weight: 1}

func parseOrganisation(body []byte) (any, error) {
	o := DefaultOrganisation
	if err := decode(body, &o); err != nil {
		return nil, err
	}
	return o, errors.Join(
		within("requests_per_second", o.RequestsPerSecond, 0, 1e6),
		within("tokens_in_flight", o.TokensInFlight, 0, 1e12),
		within("weight", o.Weight, 0.001, 1000),
	)
}

// Model is schema version 1 of kind model.
type Model struct {
	// ContextTokens is the longest prompt with its answer.
	ContextTokens int64 `json:"context_tokens"`
	// DefaultDecodeTokens is expected when a request does not say how many it wants.
	DefaultDecodeTokens int64 `json:"default_decode_tokens"`
	// WeightsBytes is the size to be loaded from the weight store.
	WeightsBytes int64    `json:"weights_bytes"`
	Adapters     []string `json:"adapters"`
}

func parseModel(body []byte) (any, error) {
	m := Model{ContextTokens: 32768, DefaultDecodeTokens: 256}
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	return m, errors.Join(
		within("context_tokens", m.ContextTokens, 1, 1<<30),
		within("default_decode_tokens", m.DefaultDecodeTokens, 1, m.ContextTokens),
		within("weights_bytes", m.WeightsBytes, 0, 1<<50),
	)
}
