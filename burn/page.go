package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"rate": func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
	"time": func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"sum":  func(a, b uint64) uint64 { return a + b },
}).Parse(pageText))

// Sizes of the chart in SVG units.
const (
	chartLeft   = 180
	chartWidth  = 560
	barHeight   = 16
	barGap      = 4
	groupGap    = 16
	chartTop    = 30
	chartBottom = 10
	// minScale keeps the line of rate 1 in the chart when all rates are low.
	minScale = 2
)

// bar is one burn rate in the chart.
type bar struct {
	X, Y, Width, Height, TextY, ValueX int
	Label                              string
	Rate                               float64
	Over                               bool
}

// chart is the geometry of the page's chart: the rates of all organisations together.
type chart struct {
	Width, Height, Left, Top, Bottom, Limit int
	Bars                                    []bar
}

func newChart(rows []Row) chart {
	scale := float64(minScale)
	for _, row := range rows {
		scale = max(scale, row.BurnRate)
	}
	c := chart{Left: chartLeft, Top: chartTop, Width: chartLeft + chartWidth + 60}
	c.Limit = chartLeft + int(chartWidth/scale)
	y := chartTop + barGap
	for i, row := range rows {
		if i > 0 && row.Objective != rows[i-1].Objective {
			y += groupGap
		}
		width := int(row.BurnRate / scale * chartWidth)
		c.Bars = append(c.Bars, bar{
			X: chartLeft, Y: y, Width: width, Height: barHeight, TextY: y + barHeight - barGap,
			ValueX: chartLeft + width + barGap, Label: string(row.Objective) + " " + row.Window,
			Rate: row.BurnRate, Over: row.BurnRate > 1,
		})
		y += barHeight + barGap
	}
	c.Bottom = y
	c.Height = y + chartBottom
	return c
}

// pageData is what the template needs.
type pageData struct {
	*Report
	Chart  chart
	Lines  []line
	Hidden int
	Names  []string
}

// HTML writes the report as one page without external resources.
func (r *Report) HTML(out io.Writer) error {
	data := pageData{Report: r, Names: windowNames()}
	data.Lines, data.Hidden = r.lines()
	if len(r.Rows) > 0 {
		data.Chart = newChart(r.Rows[:len(Objectives)*len(Windows)])
	}
	return page.Execute(out, data)
}
