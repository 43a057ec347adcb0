// Package settings decodes TOML settings strictly. It collects every fault of a file, so that an
// operator sees all of them at once, each with file, key and reason.
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

// Table is a part of the settings that is decoded later, by the plug-in that owns it.
type Table map[string]any

// Fault is one mistake in a settings file.
type Fault struct {
	File   string
	Key    string
	Reason string
}

// String returns the fault as file: key: reason.
func (f Fault) String() string {
	if f.Key == "" {
		return f.File + ": " + f.Reason
	}
	return f.File + ": " + f.Key + ": " + f.Reason
}

// Faults is the error of a settings file with at least one fault.
type Faults []Fault

// Error lists one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by settings structs with rules across several keys.
type Validator interface {
	// Validate returns one error for each broken rule.
	Validate() []error
}

// Load reads a TOML file into the struct that target points to. Values already in target are
// defaults. Struct tags: toml names the key, required makes it mandatory, min and max bound numbers
// and durations. The error is a Faults.
func Load(file string, target any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return Faults{{File: file, Reason: err.Error()}}
	}
	return Parse(file, string(text), target)
}

// Parse is Load for a text that is already in memory; file is used in faults only.
func Parse(file, text string, target any) error {
	var table Table
	if _, err := toml.Decode(text, &table); err != nil {
		return Faults{{File: file, Reason: err.Error()}}
	}
	return Decode(file, "", table, target)
}

// Decode decodes a table below the given key prefix into the struct that target points to.
func Decode(file, prefix string, table Table, target any) error {
	d := decoder{file: file}
	d.table(prefix, table, reflect.ValueOf(target).Elem())
	if len(d.faults) > 0 {
		return d.faults
	}
	return nil
}

type decoder struct {
	file   string
	faults Faults
}

func (d *decoder) fail(key, format string, args ...any) {
	d.faults = append(d.faults, Fault{d.file, key, fmt.Sprintf(format, args...)})
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// table decodes one TOML table into a struct and reports unknown and missing keys.
func (d *decoder) table(prefix string, table Table, into reflect.Value) {
	before := len(d.faults)
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
				d.fail(join(prefix, name), "is required")
			}
			continue
		}
		d.value(join(prefix, name), value, into.Field(i), field.Tag)
	}
	d.unknown(prefix, table, known)
	if len(d.faults) == before {
		d.validate(prefix, into)
	}
}

func (d *decoder) unknown(prefix string, table Table, known map[string]bool) {
	var keys []string
	for key := range table {
		if !known[key] {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		d.fail(join(prefix, key), "unknown key")
	}
}

func (d *decoder) validate(prefix string, into reflect.Value) {
	v, ok := into.Addr().Interface().(Validator)
	if !ok {
		return
	}
	for _, err := range v.Validate() {
		d.fail(prefix, "%v", err)
	}
}

// value decodes one TOML value by the kind of its Go type.
func (d *decoder) value(key string, value any, into reflect.Value, tag reflect.StructTag) {
	if into.Type() == reflect.TypeFor[Table]() {
		d.raw(key, value, into)
		return
	}
	if into.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(key, value, into, tag)
		return
	}
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(key, value, u)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.structure(key, value, into)
	case reflect.Slice:
		d.slice(key, value, into, tag)
	case reflect.Map:
		d.dictionary(key, value, into, tag)
	default:
		d.scalar(key, value, into, tag)
	}
}

func (d *decoder) raw(key string, value any, into reflect.Value) {
	table, ok := asTable(value)
	if !ok {
		d.fail(key, "want a table, got %s", kindName(value))
		return
	}
	into.Set(reflect.ValueOf(table))
}

func (d *decoder) duration(key string, value any, into reflect.Value, tag reflect.StructTag) {
	text, ok := value.(string)
	if !ok {
		d.fail(key, "want a duration such as \"250ms\", got %s", kindName(value))
		return
	}
	got, err := time.ParseDuration(text)
	if err != nil {
		d.fail(key, "bad duration %q", text)
		return
	}
	if d.durationBound(key, got, tag) {
		into.SetInt(int64(got))
	}
}

func (d *decoder) durationBound(key string, got time.Duration, tag reflect.StructTag) bool {
	if low, err := time.ParseDuration(tag.Get("min")); err == nil && got < low {
		d.fail(key, "%s is below the minimum %s", got, low)
		return false
	}
	if high, err := time.ParseDuration(tag.Get("max")); err == nil && got > high {
		d.fail(key, "%s is above the maximum %s", got, high)
		return false
	}
	return true
}

func (d *decoder) text(key string, value any, into encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		d.fail(key, "want a string, got %s", kindName(value))
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.fail(key, "%v", err)
	}
}

func (d *decoder) structure(key string, value any, into reflect.Value) {
	table, ok := asTable(value)
	if !ok {
		d.fail(key, "want a table, got %s", kindName(value))
		return
	}
	d.table(key, table, into)
}

func (d *decoder) slice(key string, value any, into reflect.Value, tag reflect.StructTag) {
	items, ok := asSlice(value)
	if !ok {
		d.fail(key, "want a list, got %s", kindName(value))
		return
	}
	out := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", key, i), item, out.Index(i), tag)
	}
	into.Set(out)
}

func (d *decoder) dictionary(key string, value any, into reflect.Value, tag reflect.StructTag) {
	table, ok := asTable(value)
	if !ok {
		d.fail(key, "want a table, got %s", kindName(value))
		return
	}
	out := reflect.MakeMap(into.Type())
	for name, item := range table {
		slot := reflect.New(into.Type().Elem()).Elem()
		d.value(join(key, name), item, slot, tag)
		out.SetMapIndex(reflect.ValueOf(name), slot)
	}
	into.Set(out)
}

func (d *decoder) scalar(key string, value any, into reflect.Value, tag reflect.StructTag) {
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
			d.integer(key, n, into, tag)
			return
		}
	case reflect.Float64:
		if f, ok := number(value); ok {
			d.float(key, f, into, tag)
			return
		}
	}
	d.fail(key, "want %s, got %s", wantName(into.Kind()), kindName(value))
}

func (d *decoder) integer(key string, n int64, into reflect.Value, tag reflect.StructTag) {
	if d.numberBound(key, float64(n), tag) {
		into.SetInt(n)
	}
}

func (d *decoder) float(key string, f float64, into reflect.Value, tag reflect.StructTag) {
	if d.numberBound(key, f, tag) {
		into.SetFloat(f)
	}
}

func (d *decoder) numberBound(key string, got float64, tag reflect.StructTag) bool {
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && got < low {
		d.fail(key, "%v is below the minimum %v", got, low)
		return false
	}
	if high, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil && got > high {
		d.fail(key, "%v is above the maximum %v", got, high)
		return false
	}
	return true
}

func number(value any) (float64, bool) {
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

func wantName(kind reflect.Kind) string {
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

func kindName(value any) string {
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
