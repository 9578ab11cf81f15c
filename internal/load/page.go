package load

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bamboowalk.org/bamboowalk/pkg/balancer"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

type (
	// ComparisonRow compares one measure of two results.
	ComparisonRow struct {
		Measure string
		Before  string
		After   string
		Change  string
	}

	page struct {
		Title   string
		Results []*Result
		Rows    []ComparisonRow
		Plots   []template.HTML
	}
)

// lineColors are the colours of the plotted lines; they also differ in lightness.
var lineColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x4f, B: 0x9c, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x1b, G: 0x9e, B: 0x77, A: 0xff},
	color.RGBA{R: 0x99, G: 0x22, B: 0x66, A: 0xff},
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.2f %%", 100*v) },
	"causes":  causes,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 76em; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #bbb; padding: .2em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>{{.Title}}</h1>
{{if .Rows}}<table><tr><th>measure</th>{{range .Results}}<th>{{.Workload}}, {{.Strategy}}, {{.Admission}}, seed {{.Seed}}</th>{{end}}<th>change</th></tr>
{{range .Rows}}<tr><td>{{.Measure}}</td><td>{{.Before}}</td><td>{{.After}}</td><td>{{.Change}}</td></tr>
{{end}}</table>
{{else}}{{range .Results}}<p>{{.Deployment}}; {{.Strategy}}, {{.Admission}}, seed {{.Seed}}; arrivals for {{.Duration}}, measured after {{.Warmup}}.</p>
<table><tr><th>kind</th><th>offered</th><th>on time</th><th>load</th><th>goodput</th><th>floor</th><th>late</th><th>broken</th><th>unanswered</th><th>open</th><th>retries</th><th>p50</th><th>p99</th><th>p99.9</th><th>refused</th></tr>
{{range .Kinds}}<tr><td>{{.Kind}}</td><td>{{.Offered}}</td><td>{{percent .OnTimeShare}}</td><td>{{percent .OfferedLoad}}</td><td>{{percent .Goodput}}</td><td>{{percent .Floor}}</td><td>{{.Late}}</td><td>{{.Broken}}</td><td>{{.Unanswered}}</td><td>{{.Open}}</td><td>{{.Retries}}</td><td>{{.Latency.P50}}</td><td>{{.Latency.P99}}</td><td>{{.Latency.P999}}</td><td>{{causes .Refused}}</td></tr>
{{end}}</table>
<table><tr><th>service</th><th>goodput</th><th>busy</th><th>imbalance</th></tr>
{{range .Services}}<tr><td>{{.Service}}</td><td>{{percent .Goodput}}</td><td>{{percent .Busy}}</td><td>{{printf "%.3f" .Imbalance}}</td></tr>
{{end}}</table>
<p>Broken flows {{.BrokenFlows}}, double runs {{.DoubleRuns}}, refusals that ran {{.RefusalsThatRan}}, passes per flow {{printf "%.2f" .PassesPerRequest}}; dropped packets: {{causes .Drops}}.</p>
{{end}}{{end}}
{{range .Plots}}<figure>{{.}}</figure>
{{end}}</body></html>
`))

// WritePage writes one result as a self-contained HTML page.
func WritePage(out io.Writer, r *Result) error {
	return render(out, &page{Title: r.Workload, Results: []*Result{r}})
}

// WriteComparison writes two results as a self-contained HTML page.
func WriteComparison(out io.Writer, before, after *Result) error {
	return render(out, &page{
		Title:   before.Workload + " and " + after.Workload,
		Results: []*Result{before, after},
		Rows:    Compare(before, after),
	})
}

func render(out io.Writer, p *page) error {
	for _, r := range p.Results {
		if err := p.addPlots(r); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	return pageTemplate.Execute(out, p)
}

func (p *page) addPlots(r *Result) error {
	name := fmt.Sprintf("%s, %s, %s", r.Workload, r.Strategy, r.Admission)
	for i, k := range r.Kinds {
		measures := []string{"offered", "on time", "late", "refused"}
		svg, err := plotSeries(fmt.Sprintf("%s: %s", name, k.Kind), measures, r, func(s *Sample, measure int) float64 {
			x := s.Kinds[i]
			return []float64{x.Offered, x.OnTime, x.Late, x.Refused}[measure]
		})
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return nil
}

// plotSeries plots one line over time for each measure. The vertical axis is
// scaled by log(1+n), since a flood offers many times more requests than are
// answered.
func plotSeries(title string, measures []string, r *Result, value func(*Sample, int) float64) (template.HTML, error) {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = "seconds"
	pl.Y.Label.Text = "per second"
	pl.Y.Scale = log1pScale{}
	pl.Y.Tick.Marker = log1pTicks{}
	pl.Y.Min = 0
	pl.Legend.Top = true
	for m, measure := range measures {
		points := make(plotter.XYs, len(r.Series))
		for i := range r.Series {
			points[i] = plotter.XY{X: r.Series[i].At.Seconds(), Y: value(&r.Series[i], m)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = lineColors[m%len(lineColors)]
		line.Width = vg.Points(1.5)
		pl.Add(line)
		pl.Legend.Add(measure, line)
	}
	pl.Y.Max = max(pl.Y.Max, 1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	pl.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(buf.String(), "<svg")
	return template.HTML("<svg" + svg), nil
}

// Compare lists the measures of two results side by side. It omits kinds and
// services that only one of the results has.
func Compare(before, after *Result) []ComparisonRow {
	var rows []ComparisonRow
	add := func(measure string, b, a float64, format string) {
		rows = append(rows, ComparisonRow{
			Measure: measure,
			Before:  fmt.Sprintf(format, b),
			After:   fmt.Sprintf(format, a),
			Change:  fmt.Sprintf("%+.4g", a-b),
		})
	}
	milliseconds := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	for i := range before.Kinds {
		b := &before.Kinds[i]
		a := after.Kind(b.Kind)
		if a == nil {
			continue
		}
		name := string(b.Kind) + ", "
		add(name+"offered load", b.OfferedLoad, a.OfferedLoad, "%.4f")
		add(name+"on time", b.OnTimeShare, a.OnTimeShare, "%.4f")
		add(name+"goodput", b.Goodput, a.Goodput, "%.4f")
		add(name+"late", float64(b.Late), float64(a.Late), "%.0f")
		add(name+"broken", float64(b.Broken), float64(a.Broken), "%.0f")
		add(name+"unanswered", float64(b.Unanswered), float64(a.Unanswered), "%.0f")
		add(name+"retries", float64(b.Retries), float64(a.Retries), "%.0f")
		add(name+"p50 ms", milliseconds(b.Latency.P50), milliseconds(a.Latency.P50), "%.1f")
		add(name+"p99 ms", milliseconds(b.Latency.P99), milliseconds(a.Latency.P99), "%.1f")
		var causeNames []string
		for cause := range b.Refused {
			causeNames = append(causeNames, string(cause))
		}
		for cause := range a.Refused {
			if _, ok := b.Refused[cause]; !ok {
				causeNames = append(causeNames, string(cause))
			}
		}
		slices.Sort(causeNames)
		for _, cause := range causeNames {
			c := balancer.Cause(cause)
			add(name+"refused, "+cause, float64(b.Refused[c]), float64(a.Refused[c]), "%.0f")
		}
	}
	for i := range before.Services {
		b := &before.Services[i]
		a := after.Service(b.Service)
		if a == nil {
			continue
		}
		name := string(b.Service) + ", "
		add(name+"goodput", b.Goodput, a.Goodput, "%.4f")
		add(name+"imbalance", b.Imbalance, a.Imbalance, "%.3f")
	}
	add("broken flows", float64(before.BrokenFlows), float64(after.BrokenFlows), "%.0f")
	add("double runs", float64(before.DoubleRuns), float64(after.DoubleRuns), "%.0f")
	add("refusals that ran", float64(before.RefusalsThatRan), float64(after.RefusalsThatRan), "%.0f")
	add("passes per flow", before.PassesPerRequest, after.PassesPerRequest, "%.2f")
	return rows
}
