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
	// AllOrganisations is the name of the rows that sum all organisations. Organisation names have
	// no spaces, so neither this name nor the next can be one.
	AllOrganisations = "all organisations"
	// OtherOrganisations is the name of the rows of organisations that routers do not tell apart.
	OtherOrganisations = "other organisations"
)

// maxShown bounds the organisations in the table and the page. The JSON form has all of them.
const maxShown = 40

// Router is one source of a report.
type Router struct {
	Instance string     `json:"instance"`
	Since    *time.Time `json:"since,omitempty"`
	// Fault says why the router's counts are missing, empty when they are not.
	Fault string `json:"fault,omitempty"`
}

// Row is the use of the error budget of one objective, organisation and window.
type Row struct {
	Organisation string    `json:"organisation"`
	Objective    Objective `json:"objective"`
	Window       string    `json:"window"`
	Count
	// BurnRate is 1 when the budget is used up exactly at the end of the window.
	BurnRate float64 `json:"burn_rate"`
}

// Report is the use of the error budgets of a fleet.
type Report struct {
	Time    time.Time `json:"time"`
	Target  float64   `json:"target"`
	Routers []Router  `json:"routers"`
	// Rows begin with AllOrganisations; organisations follow, the highest burn rate first.
	Rows []Row `json:"rows"`

	all           Counts
	organisations map[string]Counts
}

// NewReport returns an empty report as of now.
func NewReport(now time.Time) *Report {
	return &Report{Time: now, Target: Target, organisations: make(map[string]Counts)}
}

// Add adds the counts of one router, or notes why they are missing.
func (r *Report) Add(instance string, s Snapshot, err error) {
	if err == nil && (!slices.Equal(s.Objectives, Objectives[:]) || !slices.Equal(s.Windows, windowNames())) {
		err = fmt.Errorf("objectives %v and windows %v are not those of this program", s.Objectives, s.Windows)
	}
	if err != nil {
		r.Routers = append(r.Routers, Router{Instance: instance, Fault: err.Error()})
		return
	}
	r.Routers = append(r.Routers, Router{Instance: instance, Since: &s.Since})
	for name, counts := range s.Organisations {
		r.sum(name, counts)
	}
	if !s.Other.empty() {
		r.sum(OtherOrganisations, s.Other)
	}
}

func (r *Report) sum(name string, counts Counts) {
	total := r.organisations[name]
	total.add(counts)
	r.organisations[name] = total
	r.all.add(counts)
}

// Complete reports whether the counts of every router are in the report.
func (r *Report) Complete() bool {
	return !slices.ContainsFunc(r.Routers, func(router Router) bool { return router.Fault != "" })
}

// Finish computes the rows. Call it after the last Add.
func (r *Report) Finish() {
	r.Rows = rows(AllOrganisations, r.all)
	for _, name := range r.ranked() {
		r.Rows = append(r.Rows, rows(name, r.organisations[name])...)
	}
}

// ranked returns the organisations, the one with the highest burn rate first.
func (r *Report) ranked() []string {
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

func rows(name string, counts Counts) []Row {
	var out []Row
	for o, objective := range Objectives {
		for w, window := range Windows {
			count := counts[o][w]
			out = append(out, Row{Organisation: name, Objective: objective, Window: window.Name, Count: count, BurnRate: count.Rate()})
		}
	}
	return out
}

// line is one row of the table: an organisation and objective with all windows.
type line struct {
	Organisation string
	Objective    Objective
	Windows      []Row
}

// lines returns the rows of the table and how many organisations it leaves out.
func (r *Report) lines() ([]line, int) {
	var out []line
	for i := 0; i+len(Windows) <= len(r.Rows); i += len(Windows) {
		first := r.Rows[i]
		out = append(out, line{first.Organisation, first.Objective, r.Rows[i : i+len(Windows)]})
	}
	shown := (1 + maxShown) * len(Objectives)
	if len(out) <= shown {
		return out, 0
	}
	return out[:shown], (len(out) - shown) / len(Objectives)
}

// Table writes the report as text.
func (r *Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "ORGANISATION\tOBJECTIVE")
	for _, window := range Windows {
		fmt.Fprintf(w, "\tBURN %s\tBAD/ALL", window.Name)
	}
	fmt.Fprintln(w)
	lines, hidden := r.lines()
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s", l.Organisation, l.Objective)
		for _, row := range l.Windows {
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
