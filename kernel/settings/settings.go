// Package settings decodes TOML settings strictly. It reports all errors of a file at once, each with the
// file, the key and the reason.
package settings

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Table is a part of the settings that is decoded later, into the settings of a plug-in.
type Table map[string]any

// FieldError is one error in a settings file. Key is empty for an error of the file as a whole.
type FieldError struct {
	File   string
	Key    string
	Reason string
}

// String returns the error in the form "file: key: reason".
func (f FieldError) String() string {
	if f.Key == "" {
		return f.File + ": " + f.Reason
	}
	return f.File + ": " + f.Key + ": " + f.Reason
}

// FieldErrors is the non-empty list of errors of a settings file.
type FieldErrors []FieldError

// Error returns one line for each error.
func (fs FieldErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by settings structs with rules that involve several keys.
type Validator interface {
	// Validate returns one error for each violated rule.
	Validate() []error
}

// Load reads a TOML file into the struct that target points to. The values in target are the defaults. Struct
// tags: toml is the key, required makes it mandatory, min and max are the bounds of a number or duration. A
// non-nil error has the type FieldErrors.
func Load(file string, target any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return FieldErrors{{File: file, Reason: err.Error()}}
	}
	return Parse(file, string(text), target)
}

// Parse is Load for text that is already in memory; file is used in error messages only.
func Parse(file, text string, target any) error {
	var table Table
	if _, err := toml.Decode(text, &table); err != nil {
		return FieldErrors{{File: file, Reason: err.Error()}}
	}
	return Decode(file, "", table, target)
}

// Decode decodes a table below the given key prefix into the struct that target points to.
func Decode(file, prefix string, table Table, target any) error {
	d := decoder{file: file}
	d.decodeTable(prefix, table, reflect.ValueOf(target).Elem())
	if len(d.errors) > 0 {
		return d.errors
	}
	return nil
}

// decoder decodes the tables of one file and collects the errors.
type decoder struct {
	file   string
	errors FieldErrors
}

func (d *decoder) addError(key, format string, args ...any) {
	d.errors = append(d.errors, FieldError{d.file, key, fmt.Sprintf(format, args...)})
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// decodeTable decodes one TOML table into a struct and reports unknown and missing keys.
func (d *decoder) decodeTable(prefix string, table Table, into reflect.Value) {
	errorsBefore := len(d.errors)
	known := make(map[string]bool)
	for i := range into.NumField() {
		field := into.Type().Field(i)
		name := field.Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		known[name] = true
		value, present := table[name]
		if !present {
			if field.Tag.Get("required") == "true" {
				d.addError(joinKey(prefix, name), "is required")
			}
			continue
		}
		d.decodeValue(joinKey(prefix, name), value, into.Field(i), field.Tag)
	}
	d.reportUnknown(prefix, table, known)
	if len(d.errors) == errorsBefore {
		d.validate(prefix, into)
	}
}

func (d *decoder) reportUnknown(prefix string, table Table, known map[string]bool) {
	var keys []string
	for key := range table {
		if !known[key] {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		d.addError(joinKey(prefix, key), "unknown key")
	}
}

func (d *decoder) validate(prefix string, into reflect.Value) {
	v, ok := into.Addr().Interface().(Validator)
	if !ok {
		return
	}
	for _, err := range v.Validate() {
		d.addError(prefix, "%v", err)
	}
}

// decodeValue decodes one TOML value according to the Go type of its destination.
func (d *decoder) decodeValue(key string, value any, into reflect.Value, tag reflect.StructTag) {
	if into.Type() == reflect.TypeFor[Table]() {
		d.decodeRawTable(key, value, into)
		return
	}
	if into.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(key, value, into, tag)
		return
	}
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(key, value, u)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		d.decodePointer(key, value, into, tag)
	case reflect.Struct:
		d.decodeStruct(key, value, into)
	case reflect.Slice:
		d.decodeSlice(key, value, into, tag)
	case reflect.Map:
		d.decodeMap(key, value, into, tag)
	default:
		d.decodeScalar(key, value, into, tag)
	}
}

func (d *decoder) decodeRawTable(key string, value any, into reflect.Value) {
	table, ok := asTable(value)
	if !ok {
		d.addError(key, "want a table, got %s", actualTypeName(value))
		return
	}
	into.Set(reflect.ValueOf(table))
}

func (d *decoder) decodeDuration(key string, value any, into reflect.Value, tag reflect.StructTag) {
	text, ok := value.(string)
	if !ok {
		d.addError(key, "want a duration such as \"250ms\", got %s", actualTypeName(value))
		return
	}
	got, err := time.ParseDuration(text)
	if err != nil {
		d.addError(key, "bad duration %q", text)
		return
	}
	if d.checkDurationBounds(key, got, tag) {
		into.SetInt(int64(got))
	}
}

func (d *decoder) checkDurationBounds(key string, got time.Duration, tag reflect.StructTag) bool {
	if low, err := time.ParseDuration(tag.Get("min")); err == nil && got < low {
		d.addError(key, "%s is below the minimum %s", got, low)
		return false
	}
	if high, err := time.ParseDuration(tag.Get("max")); err == nil && got > high {
		d.addError(key, "%s is above the maximum %s", got, high)
		return false
	}
	return true
}

func (d *decoder) decodeText(key string, value any, into encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		d.addError(key, "want a string, got %s", actualTypeName(value))
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.addError(key, "%v", err)
	}
}

// decodePointer decodes an optional value. It stays nil without its key.
func (d *decoder) decodePointer(key string, value any, into reflect.Value, tag reflect.StructTag) {
	element := reflect.New(into.Type().Elem())
	before := len(d.errors)
	if d.decodeValue(key, value, element.Elem(), tag); len(d.errors) == before {
		into.Set(element)
	}
}

func (d *decoder) decodeStruct(key string, value any, into reflect.Value) {
	table, ok := asTable(value)
	if !ok {
		d.addError(key, "want a table, got %s", actualTypeName(value))
		return
	}
	d.decodeTable(key, table, into)
}

func (d *decoder) decodeSlice(key string, value any, into reflect.Value, tag reflect.StructTag) {
	items, ok := asSlice(value)
	if !ok {
		d.addError(key, "want a list, got %s", actualTypeName(value))
		return
	}
	out := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), item, out.Index(i), tag)
	}
	into.Set(out)
}

func (d *decoder) decodeMap(key string, value any, into reflect.Value, tag reflect.StructTag) {
	table, ok := asTable(value)
	if !ok {
		d.addError(key, "want a table, got %s", actualTypeName(value))
		return
	}
	out := reflect.MakeMap(into.Type())
	for name, item := range table {
		element := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(joinKey(key, name), item, element, tag)
		out.SetMapIndex(reflect.ValueOf(name), element)
	}
	into.Set(out)
}

func (d *decoder) decodeScalar(key string, value any, into reflect.Value, tag reflect.StructTag) {
	switch into.Kind() {
	case reflect.String:
		if text, ok := value.(string); ok {
			into.SetString(text)
			return
		}
	case reflect.Bool:
		if flag, ok := value.(bool); ok {
			into.SetBool(flag)
			return
		}
	case reflect.Int, reflect.Int64:
		if n, ok := value.(int64); ok {
			d.setInt(key, n, into, tag)
			return
		}
	case reflect.Float64:
		if f, ok := asFloat(value); ok {
			d.setFloat(key, f, into, tag)
			return
		}
	}
	d.addError(key, "want %s, got %s", expectedTypeName(into.Kind()), actualTypeName(value))
}

func (d *decoder) setInt(key string, n int64, into reflect.Value, tag reflect.StructTag) {
	if d.checkNumberBounds(key, float64(n), tag) {
		into.SetInt(n)
	}
}

func (d *decoder) setFloat(key string, f float64, into reflect.Value, tag reflect.StructTag) {
	if d.checkNumberBounds(key, f, tag) {
		into.SetFloat(f)
	}
}

func (d *decoder) checkNumberBounds(key string, got float64, tag reflect.StructTag) bool {
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && got < low {
		d.addError(key, "%v is below the minimum %v", got, low)
		return false
	}
	if high, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil && got > high {
		d.addError(key, "%v is above the maximum %v", got, high)
		return false
	}
	return true
}

func asFloat(value any) (float64, bool) {
	switch n := value.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

func asTable(value any) (Table, bool) {
	switch t := value.(type) {
	case Table:
		return t, true
	case map[string]any:
		return t, true
	}
	return nil, false
}

func asSlice(value any) ([]any, bool) {
	switch s := value.(type) {
	case []any:
		return s, true
	case []map[string]any:
		out := make([]any, len(s))
		for i, table := range s {
			out[i] = table
		}
		return out, true
	}
	return nil, false
}

func expectedTypeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a number"
}

func actualTypeName(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case []any, []map[string]any:
		return "a list"
	case map[string]any, Table:
		return "a table"
	}
	return fmt.Sprintf("%T", value)
}
