package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/internal/cluster"
	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/internal/gateway"
	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/internal/hub"
	"bamboowalk.org/bamboowalk/platform"
)

// guarantees is the number of guarantees of design.md.
const guarantees = 8

var (
	metricName = regexp.MustCompile(`bamboowalk_\w+`)
	metricRow  = regexp.MustCompile("(?m)^\\| `(bamboowalk_\\w+)` \\|")
	descName   = regexp.MustCompile(`fqName: "(\w+)"`)
	alertText  = regexp.MustCompile(`(?m)^      - alert: (\w+)$`)
	guarantee  = regexp.MustCompile(`(?m)^        labels: \{guarantee: "(\w+)"\}$`)
	expr       = regexp.MustCompile(`(?m)^        expr: (.+)$`)
	reason     = regexp.MustCompile(`(?m)^          reason: ".+"$`)
)

func read(t *testing.T, file string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// described returns the names of all metrics of the code.
func described(t *testing.T) []string {
	t.Helper()
	var descs []*prometheus.Desc
	descs = append(descs, entry.Descriptions()...)
	descs = append(descs, cluster.Descriptions()...)
	descs = append(descs, control.Descriptions()...)
	descs = append(descs, gateway.Descriptions()...)
	descs = append(descs, hub.Descriptions()...)
	descs = append(descs, platform.Descriptions()...)
	var names []string
	for _, d := range descs {
		m := descName.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("no name in %v", d)
		}
		names = append(names, m[1])
	}
	slices.Sort(names)
	return names
}

// Guards against a metric that the page lacks, and against one of the page
// that the code no longer exports.
func TestMetricsPage(t *testing.T) {
	page := read(t, "metrics.md")
	var got []string
	for _, m := range metricRow.FindAllStringSubmatch(page, -1) {
		got = append(got, m[1])
	}
	slices.Sort(got)
	if want := described(t); !slices.Equal(got, want) {
		t.Errorf("got rows for\n%q, want\n%q", got, want)
	}
	for _, r := range geneve.Reasons {
		if !strings.Contains(page, "| `"+string(r)+"` |") {
			t.Errorf("got no row for the reason %s", r)
		}
	}
}

// Guards against rules about metrics that do not exist, and against a
// guarantee or rule without its alert, expression or reason.
func TestAlerts(t *testing.T) {
	text := read(t, "alerts.yaml")
	starts := alertText.FindAllStringIndex(text, -1)
	if got, want := len(starts), strings.Count(text, "alert:"); got != want || got == 0 {
		t.Fatalf("got %d rules, want %d", got, want)
	}
	names, page := described(t), read(t, "metrics.md")
	seen := make(map[string]bool)
	for i, start := range starts {
		end := len(text)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		rule := text[start[0]:end]
		name := alertText.FindStringSubmatch(rule)[1]
		e, g := expr.FindStringSubmatch(rule), guarantee.FindStringSubmatch(rule)
		if e == nil || g == nil || !reason.MatchString(rule) {
			t.Errorf("%s: got no expression, guarantee or reason", name)
			continue
		}
		seen[g[1]] = true
		used := metricName.FindAllString(e[1], -1)
		if len(used) == 0 {
			t.Errorf("%s: got no metric", name)
		}
		for _, m := range used {
			m = histogramOf(m, names)
			if !slices.Contains(names, m) || !strings.Contains(page, "| `"+m+"` |") {
				t.Errorf("%s: metric %s does not exist", name, m)
			}
		}
	}
	for n := 1; n <= guarantees; n++ {
		if g := string(rune('0' + n)); !seen[g] {
			t.Errorf("guarantee %s: got no alert", g)
		}
	}
}

// histogramOf returns the histogram that a series belongs to, or the series.
func histogramOf(series string, names []string) string {
	for _, suffix := range []string{"_bucket", "_count", "_sum"} {
		if name, ok := strings.CutSuffix(series, suffix); ok && slices.Contains(names, name) {
			return name
		}
	}
	return series
}

// Guards against an exported error type that the page lacks, and against one
// of the page that no longer exists.
func TestErrorsPage(t *testing.T) {
	page := read(t, "errors.md")
	types := errorTypes(t)
	for _, name := range types {
		if !strings.Contains(page, "\n| `"+name+"` |") {
			t.Errorf("got no row for %s", name)
		}
	}
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+\\.\\w+)` \\|").FindAllStringSubmatch(page, -1) {
		if !slices.Contains(types, m[1]) {
			t.Errorf("%s is no exported error type", m[1])
		}
	}
}

// errorTypes returns the exported types with a method Error.
func errorTypes(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, root := range []string{"../pkg", "../internal", "../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if d != nil && d.IsDir() && d.Name() == "emulator" {
				return filepath.SkipDir // a stand-in for tests
			}
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, decl := range f.Decls {
				if name := errorReceiver(decl); ast.IsExported(name) {
					names = append(names, f.Name.Name+"."+name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(names) == 0 {
		t.Fatal("got no error types")
	}
	return names
}

// errorReceiver returns the type of the receiver of a method Error, or "".
func errorReceiver(decl ast.Decl) string {
	f, ok := decl.(*ast.FuncDecl)
	if !ok || f.Recv == nil || f.Name.Name != "Error" {
		return ""
	}
	typ := f.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if id, ok := typ.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}
