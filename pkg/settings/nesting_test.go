package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// Guards against a document that is nested so deeply that its decoding stops the replicas
// for a minute, and against valid documents that are refused as nested.
func TestNesting(t *testing.T) {
	const n = 20000
	for _, text := range []string{
		"Weight = " + strings.Repeat("[", 3*n),
		"Weight = " + strings.Repeat("{a=", n),
		"Weight = " + strings.Repeat("{\"[\"=", n/2),
		strings.Repeat("a.", n) + "b = 1\n",
		strings.Repeat("a . ", n/2) + "b = 1\n",
		"[" + strings.Repeat("a.", n) + "b]\n",
		strings.Repeat("\"a\".", n/2) + "b = 1\n",
	} {
		started := time.Now()
		var invalid *InvalidError
		if _, err := decode("/Zones/a", text); !errors.As(err, &invalid) {
			t.Errorf("%.40q: got %v, want InvalidError", text, err)
		}
		if d := time.Since(started); d > time.Second {
			t.Errorf("%.40q: took %v", text, d)
		}
	}
	dots := strings.Repeat(".[{", n/4)
	for _, text := range []string{
		"A = \"" + dots + "\"\n", "A = '" + dots + "'\n", "A = \"\"\"\n" + dots + "\n\"\"\"\n", "A = '''" + dots + "'''\n", "A = 1 # " + dots + "\n",
		"A = \"\\\"" + dots + "\"\n", "A = [" + strings.Repeat("1.5, ", n/4) + "]\n", strings.Repeat("[[A.B.C]]\nD.E = 1.5\n", n/8),
		"A = \"\"\nB = \"" + dots + "\"\n",
	} {
		var v map[string]any
		if _, err := toml.Decode(text, &v); err != nil {
			t.Fatalf("%.40q: %v", text, err)
		}
		if nestedTooDeeply(text) {
			t.Errorf("%.40q: got nested too deeply", text)
		}
	}
}

// Guards against a document that ends the process that decodes it.
func FuzzDocument(f *testing.F) {
	for _, text := range []string{
		"Weight = inf\n", "Weight = 1e400\n", "CouncilRevision = -1\n", "CouncilRevision = 99999999999999999999\n",
		"EntryVMs = [[[]]]\n", "Council = {a={b=1}}\n", "[[EntryVMs]]\nControl = \"127.0.0.1:99999\"\n", "Zones = \"x\"\n", "Kinds = [{Deadline=\"1e9h\"}]\n", "A = \"\xff\"\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, p := range []Path{"/Zones/a", "/Teams/a/Services/b", "/Teams/a/Listeners/b", "/Access/a", "/Odd"} {
			if c, err := decode(p, text); err == nil && c == nil {
				t.Errorf("%s: got neither content nor an error", p)
			}
		}
	})
}
