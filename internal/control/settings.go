package control

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/internal/settingsfile"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

// maxMemoryMiB bounds the setting Memory.
const maxMemoryMiB = 1 << 20

type (
	// Settings are the validated settings of a control VM.
	Settings struct {
		ID fleet.VMID
		// Data is the directory of the replica's files.
		Data string
		// HTTP is the address of the HTTP server for the operators' interface,
		// the metrics and the time line.
		HTTP netip.AddrPort
		// Control is the address for hints over UDP and pulls over TCP.
		Control     netip.AddrPort
		Replicas    []ReplicaAddress
		RootKeyHash string
		// Keys is nil if the connections between replicas do not use TLS.
		Keys *replication.KeyFiles
		// Memory is the memory of the VM in bytes, 0 if it is not known. The limits of
		// the log and of queues follow from it.
		Memory int
		Log    settingsfile.Log
	}

	// ReplicaAddress holds the addresses of a replica.
	ReplicaAddress struct {
		ID          fleet.VMID
		Replication netip.AddrPort
		HTTP        netip.AddrPort
	}

	rawSettings struct {
		ID          string                `toml:"ID"`
		Data        string                `toml:"Data"`
		HTTP        string                `toml:"HTTP"`
		Control     string                `toml:"Control"`
		RootKeyFile string                `toml:"RootKeyFile"`
		LogFormat   string                `toml:"LogFormat"`
		LogLevel    string                `toml:"LogLevel"`
		Memory      *int                  `toml:"Memory"`
		Keys        *replication.KeyFiles `toml:"Keys"`
		Replicas    []rawReplica          `toml:"Replicas"`
	}

	rawReplica struct {
		ID          string `toml:"ID"`
		Replication string `toml:"Replication"`
		HTTP        string `toml:"HTTP"`
	}
)

// LoadSettings reads and validates a settings file; it returns a
// settingsfile.Error with all faults.
func LoadSettings(path string) (*Settings, error) {
	var raw rawSettings
	c, err := settingsfile.Load(path, &raw)
	if err != nil {
		return nil, err
	}
	s := &Settings{
		ID:      fleet.VMID(c.NonEmpty("ID", raw.ID)),
		Data:    c.NonEmpty("Data", raw.Data),
		HTTP:    c.Address("HTTP", raw.HTTP),
		Control: c.Address("Control", raw.Control),
		Keys:    raw.Keys,
		Log:     c.Log(raw.LogFormat, raw.LogLevel),
	}
	if !filepath.IsAbs(s.Data) {
		s.Data = filepath.Join(filepath.Dir(path), s.Data)
	}
	s.Memory = c.Count("Memory", raw.Memory, replica.DefaultMemory>>20, maxMemoryMiB) << 20
	s.loadRootKey(c, path, raw.RootKeyFile)
	s.addReplicas(c, raw.Replicas)
	return s, c.Err()
}

// loadRootKey reads the root key from a file; the settings keep only its hash.
func (s *Settings) loadRootKey(c *settingsfile.Checker, path, file string) {
	if c.NonEmpty("RootKeyFile", file) == "" {
		return
	}
	if !filepath.IsAbs(file) {
		file = filepath.Join(filepath.Dir(path), file)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		c.AddFault("RootKeyFile", "%v", err)
		return
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		c.AddFault("RootKeyFile", "%s is empty", file)
		return
	}
	s.RootKeyHash = settings.HashKey(key)
}

func (s *Settings) addReplicas(c *settingsfile.Checker, rawReplicas []rawReplica) {
	if n := len(rawReplicas); n != 1 && n != 3 && n != 5 {
		c.AddFault("Replicas", "must name 1, 3 or 5 replicas, not %d", n)
	}
	seen := make(map[fleet.VMID]bool)
	for i, raw := range rawReplicas {
		key := fmt.Sprintf("Replicas[%d]", i)
		r := ReplicaAddress{
			ID:          fleet.VMID(c.NonEmpty(key+".ID", raw.ID)),
			Replication: c.Address(key+".Replication", raw.Replication),
			HTTP:        c.Address(key+".HTTP", raw.HTTP),
		}
		if seen[r.ID] {
			c.AddFault(key+".ID", "is listed twice")
		}
		seen[r.ID] = true
		s.Replicas = append(s.Replicas, r)
	}
	if !seen[s.ID] {
		c.AddFault("ID", "no entry of Replicas has the id %q", s.ID)
	}
}

// Replica returns the addresses of a replica, or nil.
func (s *Settings) Replica(id fleet.VMID) *ReplicaAddress {
	for i := range s.Replicas {
		if s.Replicas[i].ID == id {
			return &s.Replicas[i]
		}
	}
	return nil
}
