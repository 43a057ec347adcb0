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

// checkCommand is "jacinthfork check".
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
		return usage(err)
	}
	fmt.Fprintf(out.out, "%s: ok (%s)\n", c.file, kind)
	return nil
}

// checkFile returns what the file is, and all of its faults.
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
	kind = kindOf(table)
	switch kind {
	case "sidecar settings":
		return kind, checkSidecar(file)
	case "router settings":
		return kind, checkRouter(file)
	}
	return kind, checkOperator(file)
}

// kindOf tells settings files apart by tables and keys that only one of them has.
func kindOf(table settings.Table) string {
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

// plugins collects the faults of the plug-ins that a settings file names.
type plugins struct {
	ctx  *kernel.Context
	errs []error
}

func (p *plugins) choose(kind kernel.Kind, table settings.Table) {
	if table == nil {
		return // A missing table is a fault of the file already.
	}
	if _, err := kernel.Choose[any](p.ctx, kind, table); err != nil {
		p.errs = append(p.errs, err)
	}
}

func checkRouter(file string) error {
	s := router.DefaultSettings()
	p := plugins{ctx: newContext(file)}
	p.errs = append(p.errs, settings.Load(file, &s))
	p.choose(kernel.KindLog, s.Log)
	p.choose(kernel.KindInstances, s.Instances)
	p.choose(kernel.KindPlacement, s.Placement.Default)
	for _, table := range s.Placement.Pools {
		p.choose(kernel.KindPlacement, table)
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
	p := plugins{ctx: newContext(file)}
	p.errs = append(p.errs, settings.Load(file, &s))
	p.choose(kernel.KindLog, s.Log)
	p.choose(kernel.KindInstances, s.Instances)
	p.choose(kernel.KindDialect, s.Dialect)
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
	s := defaultOperatorSettings()
	p := plugins{ctx: newContext(file)}
	p.errs = append(p.errs, settings.Load(file, &s))
	p.choose(kernel.KindLog, s.Log)
	p.choose(kernel.KindInstances, s.Instances)
	return errors.Join(p.errs...)
}
