package kernel

import (
	"jacinthfork.example/jacinthfork/kernel/settings"
)

// Choose loads the plug-in that a settings table names:
//
//	[log]
//	use = "http"
//	[log.http]
//	base_url = "http://127.0.0.1:7001"
func Choose[T any](ctx *Context, kind Kind, table settings.Table) (T, error) {
	var none T
	name, _ := table["use"].(string)
	var faults settings.Faults
	if name == "" {
		faults = append(faults, settings.Fault{File: ctx.SettingsFile, Key: string(kind) + ".use", Reason: "must name a plug-in"})
	}
	for key := range table {
		if key != "use" && key != name {
			faults = append(faults, settings.Fault{File: ctx.SettingsFile, Key: string(kind) + "." + key, Reason: "unknown key"})
		}
	}
	if len(faults) > 0 {
		return none, faults
	}
	own, ok := table[name].(map[string]any)
	if !ok && table[name] != nil {
		return none, settings.Faults{{File: ctx.SettingsFile, Key: string(kind) + "." + name, Reason: "want a table"}}
	}
	return Load[T](ctx, kind, name, own)
}
