package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/router"
	"jacinthfork.example/jacinthfork/sidecar"
)

// checkCommand implements "jacinthfork check".
type checkCommand struct{ file string }

func (c *checkCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("check")
	command.Description = "Check a settings file (TOML) or a configuration record (JSON) and print all faults."
	command.AddPositionalValue(&c.file, "FILE", 1, true, "settings file or configuration record")
	parser.AttachSubcommand(command, 1)
	return command
}

func (c *checkCommand) run(_ context.Context, out output) error {
	kind, err := checkFile(c.file)
	if err != nil {
		return usageError(err)
	}
	fmt.Fprintf(out.stdout, "%s: ok (%s)\n", c.file, kind)
	return nil
}

// checkFile returns the kind of the file and all errors in it.
func checkFile(file string) (kind string, err error) {
	if filepath.Ext(file) == ".json" {
		_, err := readRecord(file)
		return "configuration record", err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var table settings.Table
	if err := toml.Unmarshal(text, &table); err != nil {
		return "", fmt.Errorf("%s: %w", file, err)
	}
	kind = settingsKind(table)
	switch kind {
	case "sidecar settings":
		return kind, checkSidecar(file)
	case "router settings":
		return kind, checkRouter(file)
	}
	return kind, checkOperator(file)
}

// settingsKind detects the kind of a settings file by its tables and keys. Sidecars also have listen and
// instance, so the keys that only sidecars have are checked first.
func settingsKind(table settings.Table) string {
	for _, key := range []string{"dialect", "pool", "admission", "answers", "exchange_interval"} {
		if _, ok := table[key]; ok {
			return "sidecar settings"
		}
	}
	for _, key := range []string{"placement", "callers", "retry", "listen", "instance"} {
		if _, ok := table[key]; ok {
			return "router settings"
		}
	}
	return "operator settings"
}

// pluginChecker collects the errors of the plug-ins that a settings file selects.
type pluginChecker struct {
	ctx  *kernel.Context
	errs []error
}

func (p *pluginChecker) check(kind kernel.Kind, table settings.Table) {
	if table == nil {
		return // settings.Load reports a missing table.
	}
	if _, err := kernel.LoadSelected[any](p.ctx, kind, table); err != nil {
		p.errs = append(p.errs, err)
	}
}

func checkRouter(file string) error {
	s := router.DefaultSettings()
	p := pluginChecker{ctx: newContext(file)}
	p.errs = append(p.errs, settings.Load(file, &s))
	p.check(kernel.KindLog, s.Log)
	p.check(kernel.KindInstances, s.Instances)
	p.check(kernel.KindPlacement, s.Placement.Default)
	for _, table := range s.Placement.Pools {
		p.check(kernel.KindPlacement, table)
	}
	if err := errors.Join(p.errs...); err != nil {
		return err
	}
	r, err := router.New(file, s, newContext(file))
	if err != nil {
		return err
	}
	r.Close()
	return nil
}

func checkSidecar(file string) error {
	s := sidecar.DefaultSettings()
	p := pluginChecker{ctx: newContext(file)}
	p.errs = append(p.errs, settings.Load(file, &s))
	p.check(kernel.KindLog, s.Log)
	p.check(kernel.KindInstances, s.Instances)
	p.check(kernel.KindDialect, s.Dialect)
	if err := errors.Join(p.errs...); err != nil {
		return err
	}
	side, err := sidecar.New(file, s, newContext(file))
	if err != nil {
		return err
	}
	side.Close()
	return nil
}

func checkOperator(file string) error {
	s := defaultToolSettings()
	p := pluginChecker{ctx: newContext(file)}
	p.errs = append(p.errs, settings.Load(file, &s))
	p.check(kernel.KindLog, s.Log)
	p.check(kernel.KindInstances, s.Instances)
	return errors.Join(p.errs...)
}
