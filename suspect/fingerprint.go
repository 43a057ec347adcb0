package suspect

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ignoredFields are body fields that differ between repeats of one request, or that change how the response
// is sent but not what the engine runs.
var ignoredFields = map[string]bool{
	"id":                true,
	"request_id":        true,
	"idempotency_key":   true,
	"user":              true,
	"safety_identifier": true,
	"prompt_cache_key":  true,
	"metadata":          true,
	"stream":            true,
	"stream_options":    true,
}

// Fingerprint returns a hash of the organisation and the body. It ignores ignoredFields, insignificant white
// space and the order of top-level fields. A body that is not a JSON object is hashed as it is.
func Fingerprint(organisation string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(organisation)
	_, _ = digest.Write([]byte{0})
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		_, _ = digest.Write(body)
		return digest.Sum64()
	}
	var compact bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if ignoredFields[name] {
			continue
		}
		compact.Reset()
		_ = json.Compact(&compact, fields[name])
		_, _ = digest.WriteString(name)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(compact.Bytes())
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
