package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"time"

	"jacinthfork.example/jacinthfork/kernel/settings"
)

// maxSettingsBytes limits the body of a settings request.
const maxSettingsBytes = 1 << 20

// WriteJSON sends value as JSON with the given status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// WriteError sends the text of err as an ErrorResponse with the given status.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, ErrorResponse{Error: err.Error()})
}

// SettingsHandler serves GET and PUT for a settings struct, whose keys are its toml tags. PUT takes a JSON
// object with the structure of the settings file and changes only the keys that are present; durations are
// strings such as "250ms". If any key or value is invalid, it changes nothing and responds with status 400
// and a list of all errors.
func SettingsHandler[T any](get func() T, set func(T)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, EncodeSettings(get()))
	})
	mux.HandleFunc("PUT /", func(w http.ResponseWriter, r *http.Request) {
		changed := get()
		if err := decodeSettings(http.MaxBytesReader(w, r.Body, maxSettingsBytes), &changed); err != nil {
			WriteError(w, http.StatusBadRequest, err)
			return
		}
		set(changed)
		WriteJSON(w, http.StatusOK, EncodeSettings(changed))
	})
	return mux
}

// EncodeSettings converts a settings struct to a table keyed by its toml tags, with durations as strings.
// Fields without a tag are left out.
func EncodeSettings(value any) settings.Table {
	v := reflect.ValueOf(value)
	table := settings.Table{}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		table[name] = encodeValue(v.Field(i))
	}
	return table
}

func encodeValue(v reflect.Value) any {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	if v.Kind() != reflect.Map {
		return v.Interface()
	}
	table := settings.Table{}
	for _, key := range v.MapKeys() {
		table[key.String()] = encodeValue(v.MapIndex(key))
	}
	return table
}

func decodeSettings(body io.Reader, target any) error {
	decoder := json.NewDecoder(body)
	decoder.UseNumber()
	var raw map[string]any
	if err := decoder.Decode(&raw); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	if decoder.More() {
		return errors.New("data after the JSON object")
	}
	table, _ := toTOMLTypes(raw).(map[string]any)
	return settings.Decode("request", "", table, target)
}

// toTOMLTypes replaces JSON numbers by the int64 or float64 that the TOML decoder would produce.
func toTOMLTypes(value any) any {
	switch v := value.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64()
		return f
	case map[string]any:
		for key, item := range v {
			v[key] = toTOMLTypes(item)
		}
	case []any:
		for i, item := range v {
			v[i] = toTOMLTypes(item)
		}
	}
	return value
}
