package kernel

import (
	"fmt"

	"jacinthfork.example/jacinthfork/kernel/settings"
)

// LoadSelected loads the plug-in that the key "use" of a settings table names, with the settings below that
// name:
//
//	[log]
//	use = "http"
//	[log.http]
//	base_url = "http://127.0.0.1:7001"
func LoadSelected[T any](ctx *Context, kind Kind, table settings.Table) (T, error) {
	var zero T
	name, _ := table["use"].(string)
	var errs settings.FieldErrors
	if name == "" {
		errs = append(errs, settings.FieldError{File: ctx.SettingsFile, Key: string(kind) + ".use", Reason: "must name a plug-in"})
	}
	for key := range table {
		if key != "use" && key != name {
			errs = append(errs, settings.FieldError{File: ctx.SettingsFile, Key: string(kind) + "." + key, Reason: "unknown key"})
		}
	}
	if len(errs) > 0 {
		return zero, errs
	}
	pluginTable, ok := table[name].(map[string]any)
	if !ok && table[name] != nil {
		return zero, settings.FieldErrors{{File: ctx.SettingsFile, Key: string(kind) + "." + name, Reason: fmt.Sprintf("want a table, got %T", table[name])}}
	}
	return Load[T](ctx, kind, name, pluginTable)
}
