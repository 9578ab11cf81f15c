package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

type (
	// Page is the content of a report.
	Page struct {
		Start, End time.Time
		Lines      int
		Skipped    int
		VMs        int
		Plots      []PlotView
		Events     []EventRow
		Causes     []CountRow
		Flows      []FlowView
		Metrics    []MetricsRow
	}

	// PlotView is a plot with its title.
	PlotView struct {
		Title string
		SVG   template.HTML
	}

	// EventRow is what happened in one second.
	EventRow struct {
		// Second counts from the start of the page.
		Second int64
		Time   string
		Text   []string
	}

	// CountRow is a number of lines with a cause.
	CountRow struct {
		Cause string
		Count int
	}

	// FlowView is a slow flow and its history.
	FlowView struct {
		SlowFlow
		Second  int64
		History string
	}
)

// NewPage returns the page of the collected lines, without histories of flows.
func NewPage(c *Collector, skipped int) *Page {
	first, last := c.span()
	p := &Page{
		Start: time.Unix(first, 0).UTC(), End: time.Unix(last+1, 0).UTC(),
		Lines: c.Lines, Skipped: skipped, VMs: len(c.vms),
	}
	marks := p.addEvents(c, first, last)
	p.addPlots(c, first, last, marks)
	p.addCauses(c)
	for _, f := range c.Slowest() {
		p.Flows = append(p.Flows, FlowView{SlowFlow: f, Second: f.At.Unix() - first})
	}
	return p
}

// addEvents adds a row for each second with events, and returns the seconds in which
// VMs started or stopped, or a hub became leader.
func (p *Page) addEvents(c *Collector, first, last int64) (marks []int) {
	for at := first; at <= last; at++ {
		s := c.seconds[at]
		if s == nil {
			continue
		}
		row := EventRow{Second: at - first, Time: time.Unix(at, 0).UTC().Format(time.TimeOnly)}
		for _, text := range slices.Sorted(maps.Keys(s.events)) {
			row.Text = append(row.Text, countText(s.events[text], text))
		}
		for _, cause := range slices.Sorted(maps.Keys(s.targets)) {
			row.Text = append(row.Text, countText(len(s.targets[cause]), "target "+cause))
		}
		if len(row.Text) > 0 {
			p.Events = append(p.Events, row)
		}
		if s.events["entry VM started"]+s.events["entry VM draining"]+s.events["hub started"]+s.events["hub became leader"] > 0 {
			marks = append(marks, int(at-first))
		}
	}
	return marks
}

func countText(n int, text string) string {
	if n == 1 {
		return text
	}
	return fmt.Sprintf("%d x %s", n, text)
}

func (p *Page) addPlots(c *Collector, first, last int64, marks []int) {
	add := func(title string, list ...series) {
		plot := &plot{title: title, series: list, marks: marks}
		p.Plots = append(p.Plots, PlotView{Title: title, SVG: plot.svg()})
	}
	values := func(f func(s *second) int) []float64 {
		list := make([]float64, last-first+1)
		for at := first; at <= last; at++ {
			if s := c.seconds[at]; s != nil {
				list[at-first] = float64(f(s))
			}
		}
		return list
	}
	outcomes := func(list ...Outcome) (all []series) {
		for _, o := range list {
			all = append(all, series{string(o), values(func(s *second) int { return s.outcomes[o] })})
		}
		return all
	}
	add("Opening packets a second", outcomes(Opened, Repeated)...)
	add("Flows and packets that were not served in time, a second", outcomes(Outcomes[2:]...)...)
	var targets []series
	for _, cause := range c.targetCauses() {
		targets = append(targets, series{cause, values(func(s *second) int { return len(s.targets[cause]) })})
	}
	add("Changes of targets a second, by cause", targets...)
	var processes []series
	for _, text := range []string{"entry VM started", "entry VM ready", "entry VM draining", "entry VM lost its feed", "hub started", "hub became leader"} {
		processes = append(processes, series{text, values(func(s *second) int { return s.events[text] })})
	}
	add("Entry VMs and hubs, events a second", processes...)
	lowest, highest := c.numbersInForce(first, last)
	add("Number of the catalog in force, lowest and highest of all VMs", series{"lowest", lowest}, series{"highest", highest})
}

func (c *Collector) targetCauses() []string {
	causes := make(map[string]bool)
	for _, s := range c.seconds {
		for cause := range s.targets {
			causes[cause] = true
		}
	}
	return slices.Sorted(maps.Keys(causes))
}

func (p *Page) addCauses(c *Collector) {
	causes := make(map[string]int)
	for _, s := range c.seconds {
		for cause, n := range s.causes {
			causes[cause] += n
		}
	}
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		p.Causes = append(p.Causes, CountRow{cause, causes[cause]})
	}
}

// Write writes the page as HTML.
func (p *Page) Write(w io.Writer) error { return pageTemplate.Execute(w, p) }
