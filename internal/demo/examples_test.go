package demo

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

// Guards against example files that the daemons reject, example documents that
// the settings state machine rejects, and files of one deployment that
// contradict each other.
func TestExampleDeployments(t *testing.T) {
	tests := []struct {
		folder, team string
		documents    int
	}{
		{"nastrificio", "Lutto", 10},
		{"kalesa", "Kalesa", 10},
	}
	for _, tt := range tests {
		folder := filepath.Join("../../examples", tt.folder)
		replicas := checkControlFiles(t, folder)
		stateMachine, zones := applyDocuments(t, folder, tt.team, tt.documents)
		if got, want := stateMachine.Revision(), fleet.Revision(tt.documents); got != want {
			t.Errorf("%s: got revision %d, want %d", tt.folder, got, want)
		}
		checkEntryFiles(t, folder, replicas, zones)
	}
}

// checkControlFiles copies the settings files of the control VMs to a directory
// that contains a root key, and loads the copies. The examples contain no root
// key, because an operator must create one. checkControlFiles returns the
// settings by VM ID.
func checkControlFiles(t *testing.T, folder string) map[fleet.VMID]*control.Settings {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "root.key"), []byte(rootKey), 0o600); err != nil {
		t.Fatal(err)
	}
	out := make(map[fleet.VMID]*control.Settings)
	for i := range replicaCount {
		name := fmt.Sprintf("control-%d.toml", i+1)
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(readFile(t, filepath.Join(folder, name))), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := control.LoadSettings(path)
		if err != nil {
			t.Fatal(err)
		}
		if r := s.Replica(s.ID); r.HTTP != s.HTTP || len(s.Replicas) != replicaCount {
			t.Errorf("%s: got replicas %v, want %d with own HTTP address %s", name, s.Replicas, replicaCount, s.HTTP)
		}
		out[s.ID] = s
	}
	return out
}

// applyDocuments writes the documents to a state machine. It writes a document
// before the documents that refer to it. It writes the documents of zones and
// of access with root rights, and the others with the rights of the team's key.
// It returns the state machine and the entry VMs of each zone.
func applyDocuments(t *testing.T, folder, team string, want int) (*settings.StateMachine, map[fleet.ZoneID][]fleet.VM) {
	t.Helper()
	root := filepath.Join(folder, "settings")
	m := settings.NewStateMachine()
	now := time.Unix(1e9, 0)
	n := 0
	for _, dir := range []string{"Zones", "Access", "Teams/" + team + "/Services", "Teams/" + team + "/Listeners"} {
		files, err := filepath.Glob(filepath.Join(root, dir, "*.toml"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			n++
			rel := strings.TrimPrefix(strings.TrimSuffix(file, ".toml"), root)
			w := &settings.Write{
				Operation: settings.NewOperationID(now, uint64(n)), Path: settings.Path(filepath.ToSlash(rel)), Text: readFile(t, file),
				Root: !strings.HasPrefix(dir, "Teams"), KeyHash: settings.HashKey("change me: " + team),
			}
			r, err := settings.DecodeResult(m.Apply(w.Encode(), now))
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Err(); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
	}
	if total := countFiles(t, root); n != want || total != want {
		t.Errorf("%s: wrote %d documents of %d, want %d", root, n, total, want)
	}
	return m, zoneVMs(t, root)
}

func zoneVMs(t *testing.T, root string) map[fleet.ZoneID][]fleet.VM {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "Zones", "*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[fleet.ZoneID][]fleet.VM)
	for _, file := range files {
		var z settings.Zone
		if _, err := toml.DecodeFile(file, &z); err != nil {
			t.Fatal(err)
		}
		out[fleet.ZoneID(strings.TrimSuffix(filepath.Base(file), ".toml"))] = z.EntryVMs
	}
	return out
}

// checkEntryFiles loads the settings file of one entry VM per zone and compares
// the addresses in the file with the documents of the zones and with the
// settings files of the control VMs.
func checkEntryFiles(t *testing.T, folder string, replicas map[fleet.VMID]*control.Settings, zones map[fleet.ZoneID][]fleet.VM) {
	t.Helper()
	for zone, vms := range zones {
		s, err := entry.Load(filepath.Join(folder, strings.ToLower(string(zone))+"-1.toml"))
		if err != nil {
			t.Error(err)
			continue
		}
		self := fleet.VM{ID: s.ID, Control: s.Control, Data: s.Data, HTTP: s.HTTP}
		if s.Zone != zone || !slices.Contains(vms, self) {
			t.Errorf("%s: got %v in zone %s, want a VM of %s: %v", folder, self, s.Zone, zone, vms)
		}
		for _, z := range s.Zones {
			for _, vm := range z.Members {
				if !slices.Contains(zones[z.ID], vm) {
					t.Errorf("%s: member %v is not an entry VM of %s", s.ID, vm, z.ID)
				}
			}
		}
		for _, r := range s.Replicas {
			if c := replicas[r.ID]; c == nil || c.Control != r.Control {
				t.Errorf("%s: address of replica %v differs from the settings file of the replica", s.ID, r)
			}
		}
		if got, want := len(s.Replicas), len(replicas); got != want {
			t.Errorf("%s: got %d replicas, want %d", s.ID, got, want)
		}
	}
}

func countFiles(t *testing.T, root string) int {
	t.Helper()
	n := 0
	err := filepath.WalkDir(root, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			n++
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func readFile(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
