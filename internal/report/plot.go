package report

import (
	"fmt"
	"html/template"
	"strings"
)

const (
	plotWidth   = 1000
	plotHeight  = 150
	plotLeft    = 60
	plotBottom  = 18
	plotTop     = 6
	axisLabels  = 10
	legendWidth = 190
)

// colours are those of the series of a plot, in their order. They differ in
// brightness as well, for readers who don't tell all of them apart.
var colours = []string{"#1f5fa8", "#8fb8de", "#b3261e", "#555555", "#e08a00", "#7b3fa0", "#1e7d4f"}

type (
	// series is one line of a plot, with a value for each second.
	series struct {
		name   string
		values []float64
	}

	// plot is a plot over the time of the page.
	plot struct {
		title  string
		series []series
		// marks holds the seconds, counted from the first, of the vertical marks.
		marks []int
	}
)

// svg returns the plot as an SVG element.
func (p *plot) svg() template.HTML {
	n, top := 1, 1.0
	for _, s := range p.series {
		n = max(n, len(s.values))
		for _, v := range s.values {
			top = max(top, v)
		}
	}
	x := func(i float64) float64 { return plotLeft + i/float64(n)*(plotWidth-plotLeft) }
	y := func(v float64) float64 {
		return plotTop + (1-v/top)*(plotHeight-plotTop-plotBottom)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, plotWidth+legendWidth, plotHeight, template.HTMLEscapeString(p.title))
	for _, m := range p.marks {
		fmt.Fprintf(&b, `<line class="mark" x1="%.1f" y1="%d" x2="%.1f" y2="%.1f"/>`, x(float64(m)), plotTop, x(float64(m)), y(0))
	}
	for _, v := range []float64{0, top / 2, top} {
		fmt.Fprintf(&b, `<line class="grid" x1="%d" y1="%.1f" x2="%d" y2="%.1f"/><text x="%d" y="%.1f" class="value">%.4g</text>`,
			plotLeft, y(v), plotWidth, y(v), plotLeft-6, y(v)+4, v)
	}
	step := max(1, n/axisLabels)
	for i := 0; i < n; i += step {
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" class="time">%d s</text>`, x(float64(i)), plotHeight-4, i)
	}
	for i, s := range p.series {
		colour := colours[i%len(colours)]
		var points strings.Builder
		for at, v := range s.values {
			// Each second is drawn as a step, because values are counts of a second.
			fmt.Fprintf(&points, "%.1f,%.1f %.1f,%.1f ", x(float64(at)), y(v), x(float64(at+1)), y(v))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, colour, points.String())
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="10" height="3" fill="%s"/><text x="%d" y="%d" class="legend">%s</text>`,
			plotWidth+10, 14+i*17, colour, plotWidth+26, 19+i*17, template.HTMLEscapeString(s.name))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}
