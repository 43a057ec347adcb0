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

// maxSettingsBytes bounds the body of a settings request.
const maxSettingsBytes = 1 << 20

// WriteJSON answers with the given status and value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Problem is the body of an error answer.
type Problem struct {
	Error string `json:"error"`
}

// WriteError answers with the given status and the text of err.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, Problem{Error: err.Error()})
}

// SettingsHandler serves GET and PUT of a settings struct, whose keys are its toml tags. PUT takes a
// JSON object in the form of the settings file and changes only the keys that it names; durations
// are strings such as "250ms". It answers 400 with all faults when one key is wrong.
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

// EncodeSettings returns a settings struct as a table with its toml tags as keys and durations as
// strings.
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
	table, _ := tomlTypes(raw).(map[string]any)
	return settings.Decode("request", "", table, target)
}

// tomlTypes replaces JSON numbers by the types that the TOML decoder gives.
func tomlTypes(value any) any {
	switch v := value.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64()
		return f
	case map[string]any:
		for key, item := range v {
			v[key] = tomlTypes(item)
		}
	case []any:
		for i, item := range v {
			v[i] = tomlTypes(item)
		}
	}
	return value
}
