package report

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"bamboowalk.org/bamboowalk/internal/explain"
)

const (
	// windowBefore and windowAfter bound the time around a slow flow from which lines
	// are kept for its history. Silent targets are found after three seconds.
	windowBefore = 5 * time.Second
	windowAfter  = 2 * time.Second
	// maxKeptLines bounds the lines that are kept for histories.
	maxKeptLines = 200_000
	// progressInterval is the time between two lines about the progress.
	progressInterval = time.Second
)

type (
	// Command is the report command.
	Command struct {
		Logs    []string `arg:"" optional:"" type:"existingpath" help:"Files or folders with log lines; left out, standard input."`
		Output  string   `short:"o" default:"report.html" type:"path" help:"File for the page."`
		Metrics []string `type:"existingfile" help:"Files with metrics as the daemons serve them."`
	}

	// MetricsRow is the sum of a metric over its labels in a snapshot.
	MetricsRow struct {
		Snapshot, Metric string
		Value            string
	}

	// ReadError reports logs or metrics that can't be read.
	ReadError struct {
		Path string
		Err  error
	}

	// EmptyError reports input without any log line.
	EmptyError struct{ Skipped int }
)

// Error returns the path and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Error returns the number of other lines.
func (e *EmptyError) Error() string {
	return fmt.Sprintf("no log line found, and %d other lines", e.Skipped)
}

// Run reads the logs and writes the page. It returns a ReadError, an EmptyError, or the
// error of a write.
func (c *Command) Run() error {
	paths, cleanup, err := c.inputs()
	if err != nil {
		return err
	}
	defer cleanup()
	page, err := makePage(paths, os.Stderr)
	if err != nil {
		return err
	}
	for _, name := range c.Metrics {
		rows, err := readMetrics(name)
		if err != nil {
			return err
		}
		page.Metrics = append(page.Metrics, rows...)
	}
	var out bytes.Buffer
	if err := page.Write(&out); err != nil {
		return err
	}
	if err := os.WriteFile(c.Output, out.Bytes(), 0o644); err != nil {
		return err
	}
	fmt.Printf("%s: %d lines of %d VMs, %d slow flows\n", c.Output, page.Lines, page.VMs, len(page.Flows))
	return nil
}

// inputs returns the files to read. Standard input is copied to a file, because logs
// are read twice.
func (c *Command) inputs() (paths []string, cleanup func(), err error) {
	cleanup = func() {}
	if len(c.Logs) == 0 {
		f, err := os.CreateTemp("", "bamboowalk-report")
		if err != nil {
			return nil, cleanup, err
		}
		cleanup = func() { os.Remove(f.Name()) }
		_, err = io.Copy(f, os.Stdin)
		if err := errors.Join(err, f.Close()); err != nil {
			cleanup()
			return nil, func() {}, &ReadError{"standard input", err}
		}
		return []string{f.Name()}, cleanup, nil
	}
	for _, path := range c.Logs {
		err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.Type().IsRegular() {
				paths = append(paths, name)
			}
			return nil
		})
		if err != nil {
			return nil, cleanup, &ReadError{path, err}
		}
	}
	return paths, cleanup, nil
}

// makePage reads the logs and returns their page.
func makePage(paths []string, progress io.Writer) (*Page, error) {
	var c Collector
	skipped, err := readAll(paths, "counting", progress, c.Add)
	if err != nil {
		return nil, err
	}
	if c.Lines == 0 {
		return nil, &EmptyError{skipped}
	}
	page := NewPage(&c, skipped)
	if len(page.Flows) == 0 {
		return page, nil
	}
	var kept []explain.Line
	if _, err := readAll(paths, "histories", progress, func(l explain.Line) {
		if len(kept) < maxKeptLines && page.wants(&l) {
			kept = append(kept, l)
		}
	}); err != nil {
		return nil, err
	}
	for i := range page.Flows {
		f := &page.Flows[i]
		history, err := explain.SelectFlow(kept, f.ID)
		if err != nil {
			f.History = err.Error()
			continue
		}
		var b bytes.Buffer
		if err := history.Print(&b, f.ID); err != nil {
			return nil, err
		}
		f.History = b.String()
	}
	return page, nil
}

// wants reports whether the history of a slow flow may contain a line.
func (p *Page) wants(l *explain.Line) bool {
	return slices.ContainsFunc(p.Flows, func(f FlowView) bool {
		begin := f.At.Add(-f.After - windowBefore)
		return l.Flow == f.ID || l.Flow == "" && l.Time.After(begin) && l.Time.Before(f.At.Add(windowAfter))
	})
}

// readAll passes the lines of all files to emit, and writes how far it is.
func readAll(paths []string, what string, progress io.Writer, emit func(explain.Line)) (skipped int, err error) {
	var total, done int64
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil {
			total += info.Size()
		}
	}
	last := time.Now()
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return skipped, &ReadError{path, err}
		}
		counted := countingReader{f, &done}
		n, err := explain.Read(counted, func(l explain.Line) {
			emit(l)
			if time.Since(last) > progressInterval {
				last = time.Now()
				fmt.Fprintf(progress, "%s: %d of %d MB\n", what, done>>20, total>>20)
			}
		})
		f.Close()
		skipped += n
		if err != nil {
			return skipped, &ReadError{path, err}
		}
	}
	return skipped, nil
}

// countingReader adds the number of bytes read to n.
type countingReader struct {
	io.Reader
	n *int64
}

// Read reads from the underlying reader.
func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	*r.n += int64(n)
	return n, err
}

// readMetrics returns the sum of each counter and gauge of a snapshot.
func readMetrics(path string) ([]MetricsRow, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &ReadError{path, err}
	}
	defer f.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(f)
	if err != nil {
		return nil, &ReadError{path, err}
	}
	var rows []MetricsRow
	for name, family := range families {
		sum := 0.0
		for _, m := range family.Metric {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
		rows = append(rows, MetricsRow{filepath.Base(path), name, fmt.Sprintf("%.6g", sum)})
	}
	slices.SortFunc(rows, func(a, b MetricsRow) int { return bytes.Compare([]byte(a.Metric), []byte(b.Metric)) })
	return rows, nil
}
