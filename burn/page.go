package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"rate": func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
	"time": func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"sum":  func(a, b uint64) uint64 { return a + b },
}).Parse(pageHTML))

// Dimensions of the chart in SVG units.
const (
	chartLeft   = 180
	chartWidth  = 560
	barHeight   = 16
	barGap      = 4
	groupGap    = 16
	chartTop    = 30
	chartBottom = 10
	// minScale is the minimum burn rate at the right edge of the chart, which keeps the line at rate 1 visible
	// when all rates are low.
	minScale = 2
)

// bar is the geometry and content of one bar of the chart.
type bar struct {
	X, Y, Width, Height, TextY, ValueX int
	Label                              string
	Rate                               float64
	OverBudget                         bool
}

// chart is the geometry of the bar chart, which shows the burn rates of all organisations combined.
type chart struct {
	Width, Height, Left, Top, Bottom, ThresholdX int
	Bars                                         []bar
}

func newChart(rows []Row) chart {
	scale := float64(minScale)
	for _, row := range rows {
		scale = max(scale, row.BurnRate)
	}
	c := chart{Left: chartLeft, Top: chartTop, Width: chartLeft + chartWidth + 60}
	c.ThresholdX = chartLeft + int(chartWidth/scale)
	y := chartTop + barGap
	for i, row := range rows {
		if i > 0 && row.Objective != rows[i-1].Objective {
			y += groupGap
		}
		width := int(row.BurnRate / scale * chartWidth)
		c.Bars = append(c.Bars, bar{
			X: chartLeft, Y: y, Width: width, Height: barHeight, TextY: y + barHeight - barGap,
			ValueX: chartLeft + width + barGap, Label: string(row.Objective) + " " + row.Window,
			Rate: row.BurnRate, OverBudget: row.BurnRate > 1,
		})
		y += barHeight + barGap
	}
	c.Bottom = y
	c.Height = y + chartBottom
	return c
}

// pageData is the input of the page template.
type pageData struct {
	*Report
	Chart               chart
	TableRows           []tableRow
	HiddenOrganisations int
	WindowNames         []string
}

// HTML writes the report as a self-contained HTML page.
func (r *Report) HTML(out io.Writer) error {
	data := pageData{Report: r, WindowNames: windowNames()}
	data.TableRows, data.HiddenOrganisations = r.tableRows()
	if len(r.Rows) > 0 {
		data.Chart = newChart(r.Rows[:len(Objectives)*len(Windows)])
	}
	return pageTemplate.Execute(out, data)
}
