package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/operator"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

const (
	fleetEntryVMs     = 5
	killedIndex       = fleetEntryVMs - 1 // index of the entry VM that is killed
	fleetTimeout      = 15 * time.Second
	fleetPollInterval = 50 * time.Millisecond
)

// fleetProcesses is a fleet of real processes: control VMs, and the entry VMs of
// one zone, which fetch their settings from the control VMs.
type fleetProcesses struct {
	t                *testing.T
	binary           string
	dir              string
	replicas         []control.ReplicaAddress
	controlAddresses []netip.AddrPort // where entry VMs fetch settings
	vms              []fleet.VM
	running          map[fleet.VMID]*exec.Cmd
}

func newFleetProcesses(t *testing.T) *fleetProcesses {
	f := &fleetProcesses{t: t, dir: t.TempDir(), running: make(map[fleet.VMID]*exec.Cmd)}
	f.binary = filepath.Join(f.dir, "bamboowalk")
	if out, err := exec.Command("go", "build", "-o", f.binary, "../../cmd/bamboowalk").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for i := range replicaCount {
		id := fleet.VMID(fmt.Sprintf("control-%d", i+1))
		f.replicas = append(f.replicas, control.ReplicaAddress{ID: id, Replication: freePort(t), HTTP: freePort(t)})
		f.controlAddresses = append(f.controlAddresses, freePort(t))
	}
	for i := range fleetEntryVMs {
		id := fleet.VMID(fmt.Sprintf("monza-%d", i+1))
		f.vms = append(f.vms, fleet.VM{ID: id, Control: freePort(t), Data: freePort(t), HTTP: freePort(t)})
	}
	f.writeFile("root.key", rootKey+"\n")
	for i, r := range f.replicas {
		f.writeFile(string(r.ID)+".toml", f.controlText(i))
	}
	for _, vm := range f.vms {
		f.writeFile(string(vm.ID)+".toml", f.entryText(vm))
	}
	return f
}

func (f *fleetProcesses) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleetProcesses) controlText(i int) string {
	var b strings.Builder
	r := f.replicas[i]
	fmt.Fprintf(&b, "ID = %q\nData = %q\nHTTP = %q\nControl = %q\nRootKeyFile = \"root.key\"\n", r.ID, "data-"+r.ID, r.HTTP, f.controlAddresses[i])
	for _, r := range f.replicas {
		fmt.Fprintf(&b, "[[Replicas]]\nID = %q\nReplication = %q\nHTTP = %q\n", r.ID, r.Replication, r.HTTP)
	}
	return b.String()
}

func (f *fleetProcesses) entryText(vm fleet.VM) string {
	var b strings.Builder
	fmt.Fprintf(&b, "ID = %q\nZone = \"Monza\"\nControl = %q\nData = %q\nHTTP = %q\nFabric = [\"127.0.0.1:9\"]\nLeaseTime = \"1m\"\n", vm.ID, vm.Control, vm.Data, vm.HTTP)
	for i, r := range f.replicas {
		fmt.Fprintf(&b, "[[Replicas]]\nID = %q\nControl = %q\n", r.ID, f.controlAddresses[i])
	}
	fmt.Fprint(&b, "[[Zones]]\nID = \"Monza\"\n")
	b.WriteString(memberText("Zones.Members", f.vms))
	return b.String()
}

func memberText(table string, vms []fleet.VM) string {
	var b strings.Builder
	for _, vm := range vms {
		fmt.Fprintf(&b, "[[%s]]\nID = %q\nControl = %q\nData = %q\nHTTP = %q\n", table, vm.ID, vm.Control, vm.Data, vm.HTTP)
	}
	return b.String()
}

func (f *fleetProcesses) zoneText() string {
	var council []string
	for _, vm := range f.vms {
		council = append(council, strconv.Quote(string(vm.ID)))
	}
	return fmt.Sprintf("Weight = 1.0\nState = \"In\"\nCouncilRevision = 1\nCouncil = [%s]\n", strings.Join(council, ", ")) +
		memberText("EntryVMs", f.vms)
}

func (f *fleetProcesses) start(role string, id fleet.VMID, args ...string) {
	f.t.Helper()
	args = append([]string{role, "--config", filepath.Join(f.dir, string(id)+".toml")}, args...)
	cmd := exec.Command(f.binary, args...)
	cmd.Stderr = f.t.Output()
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.running[id] = cmd
	f.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
}

// kill ends a process with SIGKILL.
func (f *fleetProcesses) kill(id fleet.VMID) {
	f.running[id].Process.Kill()
	f.running[id].Wait()
	delete(f.running, id)
}

func (f *fleetProcesses) servers() string {
	var urls []string
	for _, r := range f.replicas {
		urls = append(urls, "http://"+r.HTTP.String())
	}
	return strings.Join(urls, ",")
}

func (f *fleetProcesses) entryURLs() []string {
	var urls []string
	for _, vm := range f.vms {
		urls = append(urls, "http://"+vm.HTTP.String())
	}
	return urls
}

// put writes a document with the config command and returns its revision.
func (f *fleetProcesses) put(path, text string) fleet.Revision {
	f.t.Helper()
	file := f.writeFile("document.toml", text)
	cmd := exec.Command(f.binary, "config", "--servers", f.servers(), "--key-file", filepath.Join(f.dir, "root.key"), "put", path, file)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		f.t.Fatalf("config put %s: %v\n%s", path, err, stderr.String())
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(string(out)), 10, 64)
	if err != nil {
		f.t.Fatalf("config put %s: got %q, want a revision", path, out)
	}
	return fleet.Revision(revision)
}

// status returns the output of the status command. It ignores the exit code,
// which is not zero if a VM did not answer: the output lists such VMs too.
func (f *fleetProcesses) status() (s operator.FleetStatus) {
	args := append([]string{"status", "--json", "--servers", f.servers()}, f.entryURLs()...)
	out, _ := exec.Command(f.binary, args...).Output()
	if err := json.Unmarshal(out, &s); err != nil {
		f.t.Fatalf("status: %v in %q", err, out)
	}
	return s
}

// waitFor polls the status until check returns "". It fails the test after
// fleetTimeout.
func (f *fleetProcesses) waitFor(what string, check func(s *operator.FleetStatus) string) {
	f.t.Helper()
	reason := ""
	begin := time.Now()
	for time.Since(begin) < fleetTimeout {
		s := f.status()
		if reason = check(&s); reason == "" {
			f.t.Logf("%s after %v", what, time.Since(begin).Round(time.Millisecond))
			return
		}
		time.Sleep(fleetPollInterval)
	}
	f.t.Fatalf("%s: condition not met after %v: %s", what, fleetTimeout, reason)
}

// inForce checks the following conditions. It describes the first one that does
// not hold, and returns "" if all hold:
//
//   - The number of entry VMs that answered is members.
//   - Each of them is healthy, has a lease and a sealed view, has applied the
//     given revision or a newer one, and knows the given numbers of members and
//     targets.
//   - The numbers of targets that these VMs own add up to targets.
func (f *fleetProcesses) inForce(s *operator.FleetStatus, revision fleet.Revision, members, targets int) string {
	if len(s.Entry) != members {
		return fmt.Sprintf("%d entry VMs answered, want %d: %v", len(s.Entry), members, s.Unreachable)
	}
	owned := 0
	for i := range s.Entry {
		v := &s.Entry[i]
		if v.Health != "healthy" || v.Revision < revision || !v.Sealed || !v.HasLease || len(v.Members) != members || v.KnownTargets != targets {
			return fmt.Sprintf("%s: got %+v, want healthy, revision %d, sealed, a lease, %d members, %d targets", v.ID, *v, revision, members, targets)
		}
		owned += len(v.Targets)
	}
	if owned != targets {
		return fmt.Sprintf("entry VMs own %d targets in total, want %d", owned, targets)
	}
	return ""
}

// announce announces a target to one entry VM, which forwards the announcement
// to the owner of the target. It returns the ID granted to the target.
func (f *fleetProcesses) announce(vm fleet.VM) fleet.TargetID {
	f.t.Helper()
	a := &announce.Announcement{
		Service: counterService, Address: netip.MustParseAddrPort("127.0.0.1:9"),
		Slots: 3, ConnectionLimit: 100, State: announce.Ready, Credential: credential,
	}
	grant, err := announce.Announce(f.t.Context(), http.DefaultClient, vm.HTTP, a)
	if err != nil {
		f.t.Errorf("announcement to %s: %v", vm.ID, err)
	}
	return grant.Target
}

// Guards against a fleet of separately started processes that does not form,
// that does not apply a change after a control and an entry process were
// killed, or whose restarted control VM does not catch up. Also guards against
// a target that gets different IDs from different entry VMs.
func TestFleetProcesses(t *testing.T) {
	f := newFleetProcesses(t)
	for _, r := range f.replicas {
		f.start("control", r.ID, "--bootstrap")
	}
	for _, vm := range f.vms {
		f.start("entry", vm.ID)
	}
	f.put("/Zones/Monza", f.zoneText())
	service := "Credential = %q\nZones = [\"Monza\"]\n[[Kinds]]\nName = \"Lookup\"\nUrgency = 2\nWeight = 1.0\nShare = 0.5\nDeadline = %q\nIdleTimeout = \"5s\"\nIdempotent = true\n"
	f.put("/Teams/Lutto/Services/Counter", fmt.Sprintf(service, settings.HashKey(credential), "1s"))
	revision := f.put("/Teams/Lutto/Listeners/Lookup", "Address = \"203.0.113.11:443\"\nProtocol = \"udp\"\nService = \"Counter\"\nKind = \"Lookup\"\nAnswers = \"Direct\"\n")
	f.waitFor("the first settings are in force", func(s *operator.FleetStatus) string {
		return f.inForce(s, revision, fleetEntryVMs, 0)
	})
	target := f.announce(f.vms[0])
	f.waitFor("all entry VMs know the target", func(s *operator.FleetStatus) string {
		return f.inForce(s, revision, fleetEntryVMs, 1)
	})
	for _, vm := range f.vms {
		if got := f.announce(vm); got != target {
			t.Errorf("announcement repeated to %s: got target %v, want %v", vm.ID, got, target)
		}
	}

	restarted, killed := f.replicas[0].ID, f.vms[killedIndex]
	f.kill(restarted)
	f.kill(killed.ID)
	revision = f.put("/Teams/Lutto/Services/Counter", fmt.Sprintf(service, settings.HashKey(credential), "2s"))
	f.start("control", restarted)
	f.waitFor("the change is in force and the restarted replica has caught up", func(s *operator.FleetStatus) string {
		if reason := f.inForce(s, revision, fleetEntryVMs-1, 1); reason != "" {
			return reason
		}
		return caughtUp(s, restarted, revision)
	})
	f.checkTimeline(killed)
}

func caughtUp(s *operator.FleetStatus, id fleet.VMID, revision fleet.Revision) string {
	i := slices.IndexFunc(s.Control, func(c control.Status) bool { return c.ID == id })
	if i < 0 || s.Control[i].Revision < revision {
		return fmt.Sprintf("got control VMs %+v, want %s at revision %d", s.Control, id, revision)
	}
	return ""
}

// checkTimeline checks that the output of the timeline command contains
// InForce, View and Applied events, and a gap for the killed process and for no
// other one.
func (f *fleetProcesses) checkTimeline(killed fleet.VM) {
	f.t.Helper()
	args := append([]string{"timeline"}, f.entryURLs()...)
	args = append(args, strings.Split(f.servers(), ",")...)
	out, err := exec.Command(f.binary, args...).CombinedOutput()
	if err != nil {
		f.t.Errorf("timeline: %v", err)
	}
	text := string(out)
	for _, want := range []string{"gap: http://" + killed.HTTP.String(), "InForce", "View", "Applied"} {
		if !strings.Contains(text, want) {
			f.t.Errorf("timeline: got no %q in\n%s", want, text)
		}
	}
	if n := strings.Count(text, "gap: "); n != 1 {
		f.t.Errorf("timeline: got %d gaps, want 1", n)
	}
}
