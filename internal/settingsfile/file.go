package settingsfile

import (
	"encoding"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

type (
	// Fault is one fault of a settings file.
	Fault struct {
		Key    string
		Reason string
	}

	// Error reports all faults of a settings file.
	Error struct {
		File   string
		Faults []Fault
	}
)

// Error lists the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s: %s: %s", e.File, f.Key, f.Reason)
		if f.Key == "" {
			lines[i] = fmt.Sprintf("%s: %s", e.File, f.Reason)
		}
	}
	return strings.Join(lines, "\n")
}

// Checker converts the values of one file and collects its faults. Values
// that need decoding are read as text, so that one wrong value does not hide
// the others.
type Checker struct {
	File   string
	faults []Fault
}

// Load reads a file into form, which is a pointer to a struct with TOML tags;
// it returns an Error where the file can't be read or has another syntax.
func Load(path string, form any) (*Checker, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	return Parse(path, string(text), form)
}

// Parse reads a file's text into form; it returns an Error for text that is
// no TOML. Unknown keys are faults.
func Parse(path, text string, form any) (*Checker, error) {
	meta, err := toml.Decode(text, form)
	if err != nil {
		return nil, &Error{File: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	c := &Checker{File: path}
	for _, key := range meta.Undecoded() {
		c.Fault(key.String(), "unknown key")
	}
	return c, nil
}

// Err returns an Error with all faults, or nil.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Error{File: c.File, Faults: c.faults}
}

// Fault adds a fault.
func (c *Checker) Fault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Name returns text, which must not be empty.
func (c *Checker) Name(key, text string) string {
	if text == "" {
		c.Fault(key, "must not be empty")
	}
	return text
}

// Address returns an IP address and port.
func (c *Checker) Address(key, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		c.Fault(key, "%q is not an IP address and port", text)
	}
	return a
}

// Duration returns a duration above 0; empty text stands for the default, and
// is a fault where that is 0.
func (c *Checker) Duration(key, text string, def time.Duration) time.Duration {
	if text == "" && def > 0 {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.Fault(key, "%q is not a duration above 0", text)
	}
	return d
}

// Text decodes text into v, whose zero value stands for empty text.
func (c *Checker) Text(key, text string, v encoding.TextUnmarshaler) {
	if text == "" {
		return
	}
	if err := v.UnmarshalText([]byte(text)); err != nil {
		c.Fault(key, "%v", err)
	}
}

// Count returns a number between 1 and most; nil stands for the default.
func (c *Checker) Count(key string, n *int, def, most int) int {
	if n == nil {
		return def
	}
	if *n < 1 || *n > most {
		c.Fault(key, "must be between 1 and %d", most)
	}
	return *n
}

// Positive returns a number above 0.
func (c *Checker) Positive(key string, v float64) float64 {
	if !(v > 0) {
		c.Fault(key, "must be above 0")
	}
	return v
}
