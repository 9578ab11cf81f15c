package entry

import (
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/settingsfile"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	defaultDrainTime    = 30 * time.Second
	defaultQuietTime    = 2 * time.Second
	defaultLeaseTime    = 10 * time.Second
	defaultTargetLimit  = 4096
	defaultAnnounceRate = 20
	// maxShards is 1 because each shard counts the slots of a target separately:
	// each of several shards would admit as many requests as the target has slots.
	maxShards = 1
)

type (
	// Settings are the validated settings of an entry VM.
	Settings struct {
		ID            fleet.VMID
		Zone          fleet.ZoneID
		Control       netip.AddrPort
		Data          netip.AddrPort
		HTTP          netip.AddrPort
		Fabric        []netip.AddrPort
		FabricSources []netip.Prefix
		Shards        int
		Log           settingsfile.Log
		// DrainTime is the maximum duration of a planned stop.
		DrainTime time.Duration
		// QuietTime is the time without packets after which a planned stop ends, if
		// all flow records are acknowledged.
		QuietTime time.Duration
		// LeaseTime is the duration of a target's announcement lease.
		LeaseTime time.Duration
		// TargetLimit is the maximum number of announcement leases that this VM keeps.
		TargetLimit int
		// AnnounceRate is the number of announcements per second that one IP
		// address may send.
		AnnounceRate float64
		Zones        []fleet.Zone
		Services     map[fleet.ServiceID]announce.Credential
		Listeners    []fleet.Listener
		Targets      []fleet.Target
		// Replicas are the control VMs. If there are any, they provide the services
		// and listeners. The members of Zones are then only the seeds: the VMs that
		// this VM contacts first to learn the other VMs.
		Replicas []Replica
	}

	// Replica is a control VM. Control is the address at which the control VM
	// receives settings messages.
	Replica struct {
		ID      fleet.VMID
		Control netip.AddrPort
	}
)

// file is the structure of a settings file. Values that need further decoding
// are strings, so that all invalid values are reported and not only the first.
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
		Replicas      []fileReplica `toml:"Replicas"`
	}

	fileReplica struct {
		ID      string `toml:"ID"`
		Control string `toml:"Control"`
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

// Load reads and validates a settings file. It returns a settingsfile.Error
// with all faults.
func Load(path string) (*Settings, error) {
	var f file
	c, err := settingsfile.Load(path, &f)
	return check(c, &f, err)
}

// Parse validates the text of a settings file; path only names the file in
// errors. It returns a settingsfile.Error with all faults.
func Parse(path, text string) (*Settings, error) {
	var f file
	c, err := settingsfile.Parse(path, text, &f)
	return check(c, &f, err)
}

func check(c *settingsfile.Checker, f *file, err error) (*Settings, error) {
	if err != nil {
		return nil, err
	}
	s := (&checker{c}).settings(f)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
