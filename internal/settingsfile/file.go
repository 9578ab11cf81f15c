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
	// Fault is one fault of a settings file. Key is empty if the fault concerns
	// the whole file.
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

// Error lists the faults, one per line.
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

// Checker converts the values of one file and collects the faults. Values that
// need decoding, such as durations, are read as text and decoded by the
// Checker. The TOML decoder would stop at the first invalid value and hide the
// faults of the others.
type Checker struct {
	File   string
	faults []Fault
}

// Load decodes a file into settings, a pointer to a struct. It returns an Error
// if the file can't be read or decoded. Each unknown key becomes a fault of the
// Checker, which Err reports.
func Load(path string, settings any) (*Checker, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	return Parse(path, string(text), settings)
}

// Parse decodes the text of a file into settings, a pointer to a struct. It
// returns an Error if the text can't be decoded. Each unknown key becomes a
// fault of the Checker, which Err reports.
func Parse(path, text string, settings any) (*Checker, error) {
	meta, err := toml.Decode(text, settings)
	if err != nil {
		return nil, &Error{File: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	c := &Checker{File: path}
	for _, key := range meta.Undecoded() {
		c.AddFault(key.String(), "unknown key")
	}
	return c, nil
}

// Err returns an Error with all faults found so far, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Error{File: c.File, Faults: c.faults}
}

// AddFault adds a fault. The reason is formatted with fmt.Sprintf.
func (c *Checker) AddFault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// NonEmpty returns text; empty text is a fault.
func (c *Checker) NonEmpty(key, text string) string {
	if text == "" {
		c.AddFault(key, "must not be empty")
	}
	return text
}

// Address parses an IP address and a port above 0; other text is a fault.
func (c *Checker) Address(key, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		c.AddFault(key, "%q is not an IP address and port", text)
	}
	return a
}

// Duration parses a duration above 0; other text is a fault. For empty text it
// returns def if def is above 0.
func (c *Checker) Duration(key, text string, def time.Duration) time.Duration {
	if text == "" && def > 0 {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		c.AddFault(key, "%q is not a duration above 0", text)
	}
	return d
}

// Text decodes text into v; text that can't be decoded is a fault. Empty text
// leaves v unchanged.
func (c *Checker) Text(key, text string, v encoding.TextUnmarshaler) {
	if text == "" {
		return
	}
	if err := v.UnmarshalText([]byte(text)); err != nil {
		c.AddFault(key, "%v", err)
	}
}

// Count returns a number between 1 and upperLimit; another number is a fault.
// For nil it returns def.
func (c *Checker) Count(key string, n *int, def, upperLimit int) int {
	if n == nil {
		return def
	}
	if *n < 1 || *n > upperLimit {
		c.AddFault(key, "must be between 1 and %d", upperLimit)
	}
	return *n
}

// Positive returns v; a number that is not above 0 is a fault.
func (c *Checker) Positive(key string, v float64) float64 {
	if !(v > 0) {
		c.AddFault(key, "must be above 0")
	}
	return v
}
