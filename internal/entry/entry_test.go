package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/internal/settingsfile"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const minimalSettings = `
ID = "a"
Zone = "Monza"
Control = "127.0.0.1:1"
Data = "127.0.0.1:2"
HTTP = "127.0.0.1:3"
Fabric = ["127.0.0.1:4"]
[[Zones]]
ID = "Monza"
Services = ["T/S"]
[[Zones.Members]]
ID = "a"
Control = "127.0.0.1:1"
Data = "127.0.0.1:2"
HTTP = "127.0.0.1:3"
[[Services]]
ID = "T/S"
CredentialSHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
[[Services.Listeners]]
Address = "198.18.0.1:443"
Protocol = "udp"
Answers = "Through"
Kind = { Name = "Lookup", Urgency = 1, Weight = 1.0, Share = 0.5, Deadline = "1s", IdleTimeout = "5s", Idempotent = true }
[[Services.Targets]]
Address = "127.0.0.1:5"
Slots = 3
ConnectionLimit = 9
`

// Guards against settings that are parsed incorrectly or lack default values.
func TestParse(t *testing.T) {
	s, err := Parse("test.toml", minimalSettings)
	if err != nil {
		t.Fatal(err)
	}
	l := s.Listeners[0]
	switch {
	case s.ID != "a" || s.Zone != "Monza" || s.Data != netip.MustParseAddrPort("127.0.0.1:2"):
		t.Errorf("got %+v", s)
	case s.Shards != 1 || s.Log.Format != settingsfile.LogJSON || s.DrainTime != defaultDrainTime:
		t.Errorf("defaults: got %+v", s)
	case l.Service != "T/S" || l.Protocol != fleet.UDP || l.Kind.Deadline != time.Second || !l.Kind.Idempotent:
		t.Errorf("listener: got %+v", l)
	case s.Services["T/S"] != announce.HashCredential("secret"):
		t.Errorf("credential: got %x", s.Services["T/S"])
	case len(s.Targets) != 1 || s.Targets[0].Slots != 3:
		t.Errorf("targets: got %+v", s.Targets)
	}
}

// Guards against a fault that is reported without its key, and against a fault
// that prevents others from being reported.
func TestFaults(t *testing.T) {
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(minimalSettings) }
	for _, tt := range []struct {
		name string
		text string
		want []string
	}{
		{"invalid TOML", "ID = ", []string{""}},
		{"empty", "", []string{"Control", "Data", "Fabric", "HTTP", "ID", "ID", "Zone"}},
		{"wrong values", replace(`Address = "198.18.0.1:443"`, `Address = "198.18.0.1"`, `Protocol = "udp"`, `Protocol = "icmp"`,
			`Deadline = "1s"`, `Deadline = "soon"`, `Share = 0.5`, `Share = 2.0`, `Slots = 3`, `Slots = 0`, `Answers = "Through"`, `Answers = "Back"`,
			`"2bb8`, `"xxxx`),
			[]string{"Services[0].CredentialSHA256", "Services[0].Listeners[0].Address", "Services[0].Listeners[0].Answers",
				"Services[0].Listeners[0].Kind.Deadline", "Services[0].Listeners[0].Kind.Share", "Services[0].Listeners[0].Protocol", "Services[0].Targets[0].Slots"}},
		{"unknown keys", replace(`ID = "a"`, "ID = \"a\"\nColour = 1", `Slots = 3`, "Slots = 3\nSize = 2"), []string{"Colour", "Services.Targets.Size", "Zones.Members.Colour"}},
		{"references", replace(`Services = ["T/S"]`, `Services = ["T/None"]`, `HTTP = "127.0.0.1:3"`, `HTTP = "127.0.0.1:9"`), []string{"Zones[0].Services[0]"}},
		{"zone of the VM", replace(`Zone = "Monza"`, `Zone = "Lecco"`), []string{"Zones[0].Members[0].ID"}},
		{"addresses of the VM", strings.Replace(minimalSettings, `Data = "127.0.0.1:2"`, `Data = "127.0.0.1:7"`, 1), []string{"Zones[0].Members[0]"}},
		{"duplicate listener", minimalSettings + "[[Services.Listeners]]\nAddress = \"198.18.0.1:443\"\nProtocol = \"udp\"\nAnswers = \"Direct\"\nKind = { Name = \"X\", Weight = 1.0, Deadline = \"1s\", IdleTimeout = \"1s\" }\n", []string{"Services"}},
		{"limits", replace(`ID = "a"`+"\nZone", "Shards = 65\nAnnounceRate = -1.0\nQuietTime = \"-1s\"\nLogFormat = \"XML\"\nLogLevel = \"loud\"\nID = \"a\"\nZone"),
			[]string{"AnnounceRate", "LogFormat", "LogLevel", "QuietTime", "Shards"}},
	} {
		_, err := Parse("test.toml", tt.text)
		var se *settingsfile.Error
		if !errors.As(err, &se) || se.File != "test.toml" {
			t.Errorf("%s: got %v, want a settingsfile.Error with the file", tt.name, err)
			continue
		}
		var got []string
		for _, f := range se.Faults {
			got = append(got, f.Key)
		}
		slices.Sort(got)
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got faults at %q, want %q\n%v", tt.name, got, tt.want, err)
		}
	}
}

// Guards against example files that the daemon rejects.
func TestExamples(t *testing.T) {
	for _, name := range []string{"static/nastrificio-monza-1.toml", "nastrificio/monza-1.toml", "kalesa/cebu-1.toml"} {
		if _, err := Load("../../examples/" + name); err != nil {
			t.Error(err)
		}
	}
	if _, err := Load("missing.toml"); err == nil {
		t.Error("missing file: got no error")
	}
}

// Guards against panics on malformed settings files and against a
// settingsfile.Error that lists no faults.
func FuzzParse(f *testing.F) {
	f.Add(minimalSettings)
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("test.toml", text)
		var se *settingsfile.Error
		if err != nil && (!errors.As(err, &se) || len(se.Faults) == 0) {
			t.Errorf("got %v, want a settingsfile.Error with faults", err)
		}
	})
}

// testDaemon is a running daemon with UDP sockets as its fabric and its target.
type testDaemon struct {
	t              testing.TB
	daemon         *Daemon
	cancel         context.CancelCauseFunc
	done           chan error
	fabric, target *net.UDPConn
	data           netip.AddrPort
	url            string
}

func startTestDaemon(t testing.TB) *testDaemon {
	t.Helper()
	listen := func() (*net.UDPConn, netip.AddrPort) {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	s, err := Parse("test.toml", minimalSettings)
	if err != nil {
		t.Fatal(err)
	}
	r := &testDaemon{t: t, done: make(chan error, 1)}
	data, dataAddr := listen()
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.fabric, s.Fabric[0] = listen()
	r.target, s.Targets[0].ID.Address = listen()
	s.Data, s.HTTP = dataAddr, httpListener.Addr().(*net.TCPAddr).AddrPort()
	s.Zones[0].Members[0].Data, s.Zones[0].Members[0].HTTP = s.Data, s.HTTP
	s.QuietTime = 600 * time.Millisecond
	r.data, r.url = dataAddr, "http://"+httpListener.Addr().String()
	r.daemon = &Daemon{Settings: s, Data: data, HTTP: httpListener}
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	go func() { r.done <- r.daemon.Run(ctx) }()
	t.Cleanup(func() {
		cancel(KilledError{})
		r.fabric.Close()
		r.target.Close()
	})
	r.waitHealth(http200)
	return r
}

const http200 = http.StatusOK

func (r *testDaemon) get(path string) (int, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(r.url + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func (r *testDaemon) waitHealth(want int) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := r.get("/health"); status == want {
			return
		}
	}
	r.t.Fatalf("health: did not get status %d within 10 s", want)
}

var (
	caller = netip.MustParseAddrPort("198.19.0.1:1000")
	vip    = netip.MustParseAddrPort("198.18.0.1:443")
)

func (r *testDaemon) send(from *net.UDPConn, h geneve.Header, inner []byte) {
	from.WriteToUDPAddrPort(append(h.Append(nil, inner), inner...), r.data)
}

func (r *testDaemon) receive(conn *net.UDPConn) (geneve.Header, geneve.Inner) {
	r.t.Helper()
	b := make([]byte, 2048)
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := conn.Read(b)
	if err != nil {
		r.t.Fatal(err)
	}
	h, inner, err := geneve.ParseHeader(b[:n])
	if err != nil {
		r.t.Fatal(err)
	}
	in, err := geneve.NewDecoder().Decode(inner)
	if err != nil {
		r.t.Fatal(err)
	}
	return h, in
}

// exchange sends a request from the fabric and a response from the target, and
// checks that each arrives at the other end.
func (r *testDaemon) exchange(text string) {
	r.t.Helper()
	request, err := geneve.BuildUDP(caller, vip, []byte(text))
	if err != nil {
		r.t.Fatal(err)
	}
	r.send(r.fabric, geneve.Header{}, request)
	h, in := r.receive(r.target)
	if string(in.Data) != text || h.Flow == 0 || h.Deadline <= 0 || h.Deadline > time.Second {
		r.t.Errorf("target: got %q with %+v, want %q with a flow and a deadline of at most 1s", in.Data, h, text)
	}
	response, err := geneve.BuildUDP(vip, caller, []byte("re "+text))
	if err != nil {
		r.t.Fatal(err)
	}
	r.send(r.target, geneve.Header{HasLoad: true, Load: geneve.Load{SlotsInUse: 1}}, response)
	if _, in := r.receive(r.fabric); string(in.Data) != "re "+text || in.Destination != caller {
		r.t.Errorf("fabric: got %q for %s, want %q for the caller", in.Data, in.Destination, "re "+text)
	}
}

// Guards against a daemon that does not forward packets, and against a daemon
// that during a planned stop interrupts a flow, still reports healthy to the
// fabric, or never stops.
func TestPlannedStop(t *testing.T) {
	r := startTestDaemon(t)
	r.exchange("\x00one")
	r.cancel(nil)
	r.waitHealth(http.StatusServiceUnavailable)
	r.exchange("\x00two")
	if err := <-r.done; err != nil {
		t.Errorf("Run: got %v, want no error", err)
	}
}

// Guards against a daemon that drains although a KilledError stopped it.
func TestSimulatedCrash(t *testing.T) {
	r := startTestDaemon(t)
	r.cancel(KilledError{})
	if err := <-r.done; err != nil {
		t.Errorf("Run: got %v, want no error", err)
	}
	if status, _ := r.get("/health"); status != 0 {
		t.Errorf("health after the crash: got %d, want no answer", status)
	}
}

// Guards against metrics that are missing or not incremented, and against
// malformed packets that stop the daemon.
func TestMetrics(t *testing.T) {
	r := startTestDaemon(t)
	for i := range 100 {
		r.fabric.WriteToUDPAddrPort(make([]byte, i), r.data)
	}
	r.exchange("\x00one")
	want := []string{
		`bamboowalk_received_datagrams_total{source="fabric"} 1`,
		`bamboowalk_sent_datagrams_total{operation="forward"} 1`,
		`bamboowalk_discarded_datagrams_total{reason="TooShort"} 8`,
		"bamboowalk_epoch 1", "bamboowalk_targets 1", "bamboowalk_healthy 1",
	}
	_, body := r.get("/metrics")
	for _, line := range want {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("metrics lack %q", line)
		}
	}
	if t.Failed() {
		t.Log(body)
	}
}

// Guards against announced targets that are missing from the view, and against
// targets that remain in the view after they leave.
func TestAnnouncement(t *testing.T) {
	r := startTestDaemon(t)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a := &announce.Announcement{Service: "T/S", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 2, ConnectionLimit: 5,
		State: announce.Ready, Credential: "secret"}
	grant, err := announce.Announce(t.Context(), client, r.daemon.Settings.HTTP, a)
	if err != nil || grant.Owner != "a" || grant.OwnerData != r.data {
		t.Fatalf("got %+v, %v, want owner a", grant, err)
	}
	r.waitTargets(2)
	if err := announce.Leave(t.Context(), client, r.daemon.Settings.HTTP, a); err != nil {
		t.Errorf("leave: got %v", err)
	}
	r.waitTargets(1)
}

// BenchmarkForward measures the time to forward a packet from the fabric to a
// target through one daemon, with at most 32 packets in flight.
func BenchmarkForward(b *testing.B) {
	r := startTestDaemon(b)
	request, err := geneve.BuildUDP(caller, vip, append([]byte{0x40}, make([]byte, 1199)...))
	if err != nil {
		b.Fatal(err)
	}
	first, err := geneve.BuildUDP(caller, vip, []byte("start"))
	if err != nil {
		b.Fatal(err)
	}
	r.send(r.fabric, geneve.Header{}, first)
	r.receive(r.target)
	buf := make([]byte, 2048)
	sent, received := 0, 0
	for b.Loop() {
		r.send(r.fabric, geneve.Header{}, request)
		sent++
		for sent-received >= 32 {
			if _, err := r.target.Read(buf); err != nil {
				b.Fatal(err)
			}
			received++
		}
	}
}

func (r *testDaemon) waitTargets(want int) {
	r.t.Helper()
	line := fmt.Sprintf("bamboowalk_targets %d\n", want)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, body := r.get("/metrics"); strings.Contains(body, line) {
			return
		}
	}
	r.t.Errorf("the view did not have %d targets within 10 s", want)
}
