package burn

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// AllOrganisations is the name of the rows that sum all organisations. Organisation names contain no
	// spaces, so neither this name nor OtherOrganisations can collide with one.
	AllOrganisations = "all organisations"
	// OtherOrganisations is the name of the rows of organisations that routers do not count separately.
	OtherOrganisations = "other organisations"
)

// maxTableOrganisations is the maximum number of organisations in the table and on the page. The JSON form
// includes all of them.
const maxTableOrganisations = 40

// Router is the status of one router in a report.
type Router struct {
	Instance string     `json:"instance"`
	Since    *time.Time `json:"since,omitempty"`
	// Fault is the reason why the router's counts are missing, empty if they are present.
	Fault string `json:"fault,omitempty"`
}

// Row is the burn rate of one organisation's error budget for one objective and window.
type Row struct {
	Organisation string    `json:"organisation"`
	Objective    Objective `json:"objective"`
	Window       string    `json:"window"`
	Count
	// BurnRate is 1 if the budget is used up exactly at the end of the window.
	BurnRate float64 `json:"burn_rate"`
}

// Report holds the burn rates of the error budgets of a fleet.
type Report struct {
	Time    time.Time `json:"time"`
	Target  float64   `json:"target"`
	Routers []Router  `json:"routers"`
	// Rows starts with AllOrganisations, followed by the organisations in descending order of burn rate.
	Rows []Row `json:"rows"`

	total         Counts
	organisations map[string]Counts
}

// NewReport returns an empty report with the given time.
func NewReport(now time.Time) *Report {
	return &Report{Time: now, Target: Target, organisations: make(map[string]Counts)}
}

// Add adds the counts of one router, or records err as the reason why they are missing.
func (r *Report) Add(instance string, s Snapshot, err error) {
	if err == nil && (!slices.Equal(s.Objectives, Objectives[:]) || !slices.Equal(s.Windows, windowNames())) {
		err = fmt.Errorf("objectives %v and windows %v differ from those of this program", s.Objectives, s.Windows)
	}
	if err != nil {
		r.Routers = append(r.Routers, Router{Instance: instance, Fault: err.Error()})
		return
	}
	r.Routers = append(r.Routers, Router{Instance: instance, Since: &s.Since})
	for name, counts := range s.Organisations {
		r.addCounts(name, counts)
	}
	if !s.Other.empty() {
		r.addCounts(OtherOrganisations, s.Other)
	}
}

func (r *Report) addCounts(name string, counts Counts) {
	total := r.organisations[name]
	total.add(counts)
	r.organisations[name] = total
	r.total.add(counts)
}

// Complete reports whether the report includes the counts of every router.
func (r *Report) Complete() bool {
	return !slices.ContainsFunc(r.Routers, func(router Router) bool { return router.Fault != "" })
}

// Finish computes the rows. Call it after the last Add.
func (r *Report) Finish() {
	r.Rows = newRows(AllOrganisations, r.total)
	for _, name := range r.organisationsByBurnRate() {
		r.Rows = append(r.Rows, newRows(name, r.organisations[name])...)
	}
}

// organisationsByBurnRate returns the organisations in descending order of their highest burn rate.
func (r *Report) organisationsByBurnRate() []string {
	highest := make(map[string]float64, len(r.organisations))
	names := make([]string, 0, len(r.organisations))
	for name, counts := range r.organisations {
		names = append(names, name)
		for _, windows := range counts {
			for _, count := range windows {
				highest[name] = max(highest[name], count.Rate())
			}
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(highest[b], highest[a]), cmp.Compare(a, b))
	})
	return names
}

func newRows(name string, counts Counts) []Row {
	var out []Row
	for o, objective := range Objectives {
		for w, window := range Windows {
			count := counts[o][w]
			out = append(out, Row{Organisation: name, Objective: objective, Window: window.Name, Count: count, BurnRate: count.Rate()})
		}
	}
	return out
}

// tableRow is one row of the table: all windows of one organisation and objective.
type tableRow struct {
	Organisation string
	Objective    Objective
	Windows      []Row
}

// tableRows returns the rows of the table and the number of organisations omitted from it.
func (r *Report) tableRows() ([]tableRow, int) {
	var out []tableRow
	for i := 0; i+len(Windows) <= len(r.Rows); i += len(Windows) {
		first := r.Rows[i]
		out = append(out, tableRow{first.Organisation, first.Objective, r.Rows[i : i+len(Windows)]})
	}
	shown := (1 + maxTableOrganisations) * len(Objectives)
	if len(out) <= shown {
		return out, 0
	}
	return out[:shown], (len(out) - shown) / len(Objectives)
}

// Table writes the report as a text table.
func (r *Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "ORGANISATION\tOBJECTIVE")
	for _, window := range Windows {
		fmt.Fprintf(w, "\tBURN %s\tBAD/ALL", window.Name)
	}
	fmt.Fprintln(w)
	tableRows, hidden := r.tableRows()
	for _, t := range tableRows {
		fmt.Fprintf(w, "%s\t%s", t.Organisation, t.Objective)
		for _, row := range t.Windows {
			fmt.Fprintf(w, "\t%.2f\t%d/%d", row.BurnRate, row.Bad, row.Good+row.Bad)
		}
		fmt.Fprintln(w)
	}
	if hidden > 0 {
		fmt.Fprintf(w, "%d organisations with lower burn rates are not shown\n", hidden)
	}
	for _, router := range r.Routers {
		if router.Fault != "" {
			fmt.Fprintf(w, "router %s is missing: %s\n", router.Instance, router.Fault)
		}
	}
	return w.Flush()
}
