package entry

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"go.uber.org/zap/zapcore"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Log formats.
const (
	LogJSON    LogFormat = "JSON"
	LogConsole LogFormat = "Console"
)

const (
	defaultDrainTime    = 30 * time.Second
	defaultQuietTime    = 2 * time.Second
	defaultLeaseTime    = 10 * time.Second
	defaultTargetLimit  = 4096
	defaultAnnounceRate = 20
	maxShards           = 64
)

type (
	// LogFormat selects the form of log lines.
	LogFormat string

	// Settings are the checked settings of an entry VM.
	Settings struct {
		ID            fleet.VMID
		Zone          fleet.ZoneID
		Control       netip.AddrPort
		Data          netip.AddrPort
		HTTP          netip.AddrPort
		Fabric        []netip.AddrPort
		FabricSources []netip.Prefix
		Shards        int
		LogFormat     LogFormat
		LogLevel      zapcore.Level
		// DrainTime bounds a planned stop.
		DrainTime time.Duration
		// QuietTime is the time without packets after which a planned stop
		// ends.
		QuietTime time.Duration
		// LeaseTime is the announcement lease of a target.
		LeaseTime time.Duration
		// TargetLimit bounds the targets that this VM keeps leases for.
		TargetLimit int
		// AnnounceRate is the number of announcements per second that one IP
		// address may send.
		AnnounceRate float64
		Zones        []fleet.Zone
		Services     map[fleet.ServiceID]announce.Credential
		Listeners    []fleet.Listener
		Targets      []fleet.Target
	}

	// Fault is one fault of a settings file.
	Fault struct {
		Key    string
		Reason string
	}

	// SettingsError reports all faults of a settings file.
	SettingsError struct {
		File   string
		Faults []Fault
	}
)

// Error lists the faults, one a line.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s: %s: %s", e.File, f.Key, f.Reason)
		if f.Key == "" {
			lines[i] = fmt.Sprintf("%s: %s", e.File, f.Reason)
		}
	}
	return strings.Join(lines, "\n")
}

// file is the form of a settings file. Values that need decoding are text, so
// that one wrong value does not hide the others.
type (
	file struct {
		ID            string        `toml:"ID"`
		Zone          string        `toml:"Zone"`
		Control       string        `toml:"Control"`
		Data          string        `toml:"Data"`
		HTTP          string        `toml:"HTTP"`
		Fabric        []string      `toml:"Fabric"`
		FabricSources []string      `toml:"FabricSources"`
		Shards        *int          `toml:"Shards"`
		LogFormat     string        `toml:"LogFormat"`
		LogLevel      string        `toml:"LogLevel"`
		DrainTime     string        `toml:"DrainTime"`
		QuietTime     string        `toml:"QuietTime"`
		LeaseTime     string        `toml:"LeaseTime"`
		TargetLimit   *int          `toml:"TargetLimit"`
		AnnounceRate  *float64      `toml:"AnnounceRate"`
		Zones         []fileZone    `toml:"Zones"`
		Services      []fileService `toml:"Services"`
	}

	fileZone struct {
		ID       string       `toml:"ID"`
		Weight   *float64     `toml:"Weight"`
		State    string       `toml:"State"`
		Services []string     `toml:"Services"`
		Members  []fileMember `toml:"Members"`
	}

	fileMember struct {
		ID      string `toml:"ID"`
		Control string `toml:"Control"`
		Data    string `toml:"Data"`
		HTTP    string `toml:"HTTP"`
	}

	fileService struct {
		ID               string         `toml:"ID"`
		CredentialSHA256 string         `toml:"CredentialSHA256"`
		Listeners        []fileListener `toml:"Listeners"`
		Targets          []fileTarget   `toml:"Targets"`
	}

	fileListener struct {
		Address  string   `toml:"Address"`
		Protocol string   `toml:"Protocol"`
		Answers  string   `toml:"Answers"`
		Kind     fileKind `toml:"Kind"`
	}

	fileKind struct {
		Name        string  `toml:"Name"`
		Urgency     int     `toml:"Urgency"`
		Weight      float64 `toml:"Weight"`
		Share       float64 `toml:"Share"`
		Deadline    string  `toml:"Deadline"`
		IdleTimeout string  `toml:"IdleTimeout"`
		Idempotent  bool    `toml:"Idempotent"`
	}

	fileTarget struct {
		Address         string `toml:"Address"`
		Slots           int    `toml:"Slots"`
		ConnectionLimit int    `toml:"ConnectionLimit"`
	}
)

// Load reads and checks a settings file; it returns a SettingsError with all
// faults.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingsError{File: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	return Parse(path, string(text))
}

// Parse checks the text of a settings file; it returns a SettingsError with
// all faults.
func Parse(path, text string) (*Settings, error) {
	var f file
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return nil, &SettingsError{File: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	c := &checker{}
	for _, key := range meta.Undecoded() {
		c.fault(key.String(), "unknown key")
	}
	s := c.settings(&f)
	if len(c.faults) > 0 {
		return nil, &SettingsError{File: path, Faults: c.faults}
	}
	return s, nil
}
