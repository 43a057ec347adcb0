package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/burn"
	"jacinthfork.example/jacinthfork/services"
)

// reportCommand implements "jacinthfork report burn".
type reportCommand struct {
	settings settingsFlag
	burn     *flaggy.Subcommand
	json     bool
	html     string
}

func (r *reportCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("report")
	command.Description = "Reports about the fleet: burn."
	r.burn = flaggy.NewSubcommand("burn")
	r.burn.Description = "Print how fast the error budgets of the service-level objectives are used up."
	r.settings.attach(r.burn)
	r.burn.Bool(&r.json, "j", "json", "print one JSON object")
	r.burn.String(&r.html, "", "html", "write one self-contained HTML page to this file")
	command.AttachSubcommand(r.burn, 1)
	parser.AttachSubcommand(command, 1)
	return command
}

// routerVariables holds those of a router's published variables that the report uses.
type routerVariables struct {
	Burn *burn.Snapshot `json:"burn"`
}

func (r *reportCommand) run(ctx context.Context, out output) error {
	if !r.burn.Used {
		return usageError(errors.New("the name of the report is missing: use \"jacinthfork report burn\""))
	}
	client, err := r.settings.open()
	if err != nil {
		return err
	}
	report, err := client.burnReport(ctx)
	if err != nil {
		return err
	}
	if err := r.print(report, out); err != nil {
		return err
	}
	if !report.Complete() {
		return errors.New("the report is incomplete: the counts of at least one router could not be read")
	}
	return nil
}

func (c *fleetClient) burnReport(ctx context.Context) (*burn.Report, error) {
	routers, err := c.nodes(ctx, services.RoleRouter)
	if err != nil {
		return nil, err
	}
	report := burn.NewReport(time.Now())
	for _, response := range fetchAll[routerVariables](ctx, c, routers, "/debug/vars") {
		if response.err == nil && response.value.Burn == nil {
			response.err = fmt.Errorf("its variables do not include %q", burn.ExpvarName)
		}
		if response.value.Burn == nil {
			response.value.Burn = new(burn.Snapshot)
		}
		report.Add(response.node.ID, *response.value.Burn, response.err)
	}
	report.Finish()
	return report, nil
}

func (r *reportCommand) print(report *burn.Report, out output) error {
	if r.html != "" {
		if err := writePage(r.html, report); err != nil {
			return err
		}
	}
	switch {
	case r.json:
		return printJSON(out.stdout, report)
	case r.html == "":
		return report.Table(out.stdout)
	}
	return nil
}

func writePage(file string, report *burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(report.HTML(f), f.Close())
}
