package geneve

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"go.uber.org/goleak"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	caller4   = netip.MustParseAddrPort("198.19.0.1:1234")
	vip4      = netip.MustParseAddrPort("198.18.0.1:443")
	caller6   = netip.MustParseAddrPort("[2001:db8::1]:1234")
	vip6      = netip.MustParseAddrPort("[2001:db8::2]:443")
	otherVIP4 = netip.MustParseAddrPort("198.18.0.9:443")
)

// quicInitial contains the first bytes of a QUIC version 1 Initial with both
// connection IDs.
var quicInitial = []byte{0xc0, 0, 0, 0, 1, 4, 1, 2, 3, 4, 2, 7, 8, 0}

func must(t testing.TB, b []byte, err error) []byte {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against header fields and options whose decoded values differ from the
// encoded ones, and against headers that gopacket decodes differently.
func TestHeaderRoundTrip(t *testing.T) {
	for _, tt := range []struct {
		name  string
		h     Header
		inner []byte
		want  layers.EthernetType
	}{
		{"empty", Header{}, []byte{0x45}, layers.EthernetTypeIPv4},
		{"all", Header{VNI: 0xabcdef, Control: true, Deadline: 250 * time.Millisecond, Flow: 7, Service: 9, Done: true, Shed: true,
			Cancel: true, HasLoad: true, Load: Load{SlotsInUse: 3, Connections: 4500}}, []byte{0x60}, layers.EthernetTypeIPv6},
	} {
		inner := tt.inner
		b := append(tt.h.Append(nil, inner), inner...)
		got, rest, err := ParseHeader(b)
		if err != nil || got != tt.h || !bytes.Equal(rest, inner) {
			t.Errorf("%s: got %+v, %x, %v, want %+v, %x", tt.name, got, rest, err, tt.h, inner)
		}
		var gn layers.Geneve
		if err := gn.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil || gn.Protocol != tt.want || gn.VNI != tt.h.VNI || !bytes.Equal(gn.Payload, inner) {
			t.Errorf("%s: gopacket got %+v, %v, want protocol %v, VNI %x", tt.name, gn, err, tt.want, tt.h.VNI)
		}
	}
}

// Guards against a time until the deadline of less than 1 ms that is encoded as
// 0.
func TestDeadlineRoundsUp(t *testing.T) {
	h := Header{Deadline: time.Microsecond}
	got, _, err := ParseHeader(h.Append(nil, []byte{0x45}))
	if err != nil || got.Deadline != time.Millisecond {
		t.Errorf("got %v, %v, want 1ms", got.Deadline, err)
	}
}

// Guards against malformed headers that are accepted, and against a wrong
// Reason, which would be counted under the wrong metric label. Unknown options
// without the critical bit must be accepted.
func TestHeaderErrors(t *testing.T) {
	option := func(class uint16, kind, words byte) []byte {
		b := []byte{1 + words, 0, 0x08, 0, 0, 0, 0, 0}
		b = binary.BigEndian.AppendUint16(b, class)
		return append(append(b, kind, words), make([]byte, 4*int(words))...)
	}
	for _, tt := range []struct {
		name string
		b    []byte
		want Reason
	}{
		{"short", make([]byte, 7), TooShort},
		{"version", []byte{0x40, 0, 8, 0, 0, 0, 0, 0}, BadVersion},
		{"protocol", []byte{0, 0, 0x65, 0x58, 0, 0, 0, 0}, UnknownProtocol},
		{"options missing", []byte{1, 0, 8, 0, 0, 0, 0, 0}, TooShort},
		{"option too long", []byte{1, 0, 8, 0, 0, 0, 0, 0, 0xff, 0xb0, 1, 5}, BadOptions},
		{"size of a known option", option(optionClass, optionDeadline, 2), BadOptions},
		{"critical option", option(0x0102, 0x81, 0), CriticalOption},
		{"critical option of class 0xffb0", option(optionClass, 0x90, 0), CriticalOption},
		{"unknown option", option(0x0102, 0x01, 31), ""},
	} {
		_, _, err := ParseHeader(tt.b)
		checkReason(t, tt.name, err, tt.want)
	}
}

func checkReason(t *testing.T, name string, err error, want Reason) {
	t.Helper()
	var de *DecodeError
	switch {
	case want == "" && err != nil:
		t.Errorf("%s: got %v, want no error", name, err)
	case want != "" && (!errors.As(err, &de) || de.Reason != want):
		t.Errorf("%s: got %v, want %s", name, err, want)
	}
}

// Guards against inner packets whose source, start or end is decoded
// incorrectly, and against a missing or unexpected instance.
func TestDecode(t *testing.T) {
	tcp := func(src, dst netip.AddrPort, l layers.TCP) []byte {
		b, err := BuildTCP(src, dst, &l, []byte("x"))
		return must(t, b, err)
	}
	udp := func(src, dst netip.AddrPort, data []byte) []byte {
		b, err := BuildUDP(src, dst, data)
		return must(t, b, err)
	}
	d := NewDecoder()
	for _, tt := range []struct {
		name        string
		b           []byte
		start       bool
		hasInstance bool
		end         balancer.End
	}{
		{"SYN", tcp(caller4, vip4, layers.TCP{SYN: true, Seq: 9}), true, true, balancer.NoEnd},
		{"SYN ACK", tcp(caller6, vip6, layers.TCP{SYN: true, ACK: true, Seq: 9}), false, false, balancer.NoEnd},
		{"FIN", tcp(caller4, vip4, layers.TCP{FIN: true}), false, false, balancer.Fin},
		{"RST", tcp(caller6, vip6, layers.TCP{RST: true}), false, false, balancer.Reset},
		{"Initial", udp(caller4, vip4, quicInitial), true, true, balancer.NoEnd},
		{"Initial of version 2", udp(caller6, vip6, []byte{0xd0, 0x6b, 0x33, 0x43, 0xcf, 1, 9, 1, 5}), true, true, balancer.NoEnd},
		{"Initial without source ID", udp(caller4, vip4, []byte{0xc0, 0, 0, 0, 1, 1, 9, 0, 0}), true, false, balancer.NoEnd},
		{"Initial truncated in the source ID", udp(caller4, vip4, []byte{0xc0, 0, 0, 0, 1, 1, 9, 4, 1}), true, false, balancer.NoEnd},
		{"Handshake", udp(caller4, vip4, []byte{0xe0, 0, 0, 0, 1, 1, 9, 0}), false, false, balancer.NoEnd},
		{"short header", udp(caller4, vip4, []byte{0x40, 1, 2, 3}), false, false, balancer.NoEnd},
		{"not QUIC", udp(caller4, netip.MustParseAddrPort("198.18.0.1:53"), []byte{0x12, 0x34}), true, false, balancer.NoEnd},
		{"no data", udp(caller6, vip6, nil), true, false, balancer.NoEnd},
	} {
		in, err := d.Decode(tt.b)
		if err != nil || in.Start != tt.start || (in.Instance != 0) != tt.hasInstance || in.End != tt.end {
			t.Errorf("%s: got %+v, %v, want start %v, instance %v, end %v", tt.name, in, err, tt.start, tt.hasInstance, tt.end)
		}
		if in.Source != caller4 && in.Source != caller6 {
			t.Errorf("%s: got source %s, want the caller", tt.name, in.Source)
		}
	}
}

// Guards against treating a caller's second Initial as a new request. The two
// Initials have different destination IDs, since the target chooses the second
// of these IDs. Also guards against an instance that two connections share.
func TestInstance(t *testing.T) {
	second := bytes.Clone(quicInitial)
	copy(second[6:], []byte{9, 9, 9, 9})
	other := bytes.Clone(quicInitial)
	other[11] = 1
	first := quicInstance(quicInitial)
	if got := quicInstance(second); got != first {
		t.Errorf("second Initial: got instance %d, want %d", got, first)
	}
	if got := quicInstance(other); got == first {
		t.Errorf("another connection: got the same instance %d", got)
	}
}

// Guards against accepting inner packets that are not complete TCP or UDP
// packets.
func TestDecodeErrors(t *testing.T) {
	b, err := BuildUDP(caller4, vip4, []byte("data"))
	valid := must(t, b, err)
	fragment := bytes.Clone(valid)
	fragment[6] = 0x20
	icmp := bytes.Clone(valid)
	icmp[9] = 1
	d := NewDecoder()
	for _, tt := range []struct {
		name string
		b    []byte
		want Reason
	}{
		{"empty", nil, TooShort},
		{"version", []byte{0x50}, BadInner},
		{"truncated", valid[:len(valid)-2], BadInner},
		{"fragment", fragment, Fragment},
		{"ICMP", icmp, BadInner},
	} {
		_, err := d.Decode(tt.b)
		checkReason(t, tt.name, err, tt.want)
	}
}

// Guards against resets that the caller's network stack would ignore because of
// wrong addresses, sequence numbers or acknowledgement numbers, and against
// answering a reset.
func TestRefusal(t *testing.T) {
	d := NewDecoder()
	for _, tt := range []struct {
		name string
		tcp  layers.TCP
		want layers.TCP
	}{
		{"SYN", layers.TCP{SYN: true, Seq: 41}, layers.TCP{RST: true, ACK: true, Ack: 42}},
		{"data", layers.TCP{ACK: true, Seq: 5, Ack: 77}, layers.TCP{RST: true, Seq: 77}},
	} {
		for _, ends := range [][2]netip.AddrPort{{caller4, vip4}, {caller6, vip6}} {
			b, err := BuildTCP(ends[0], ends[1], &tt.tcp, nil)
			got, err := d.Refusal(must(t, b, err))
			in, decodeErr := d.Decode(must(t, got, err))
			if decodeErr != nil || in.Source != ends[1] || in.Destination != ends[0] || in.End != balancer.Reset ||
				d.tcp.Seq != tt.want.Seq || d.tcp.Ack != tt.want.Ack || d.tcp.ACK != tt.want.ACK {
				t.Errorf("%s: got %+v, seq %d, ack %d, %v, want seq %d, ack %d", tt.name, in, d.tcp.Seq, d.tcp.Ack, decodeErr, tt.want.Seq, tt.want.Ack)
			}
		}
	}
	b, err := BuildTCP(caller4, vip4, &layers.TCP{RST: true}, nil)
	if got, err := d.Refusal(must(t, b, err)); got != nil || err != nil {
		t.Errorf("reset: got %x, %v, want no answer", got, err)
	}
}

// Guards against ICMPv4 errors that do not quote the IP header and the first 8
// bytes of the UDP header, and against ICMPv6 errors that exceed the minimum
// MTU of 1,280 bytes.
func TestRefusalICMP(t *testing.T) {
	d := NewDecoder()
	b, err := BuildUDP(caller4, vip4, quicInitial)
	got, err := d.Refusal(must(t, b, err))
	p := gopacket.NewPacket(must(t, got, err), layers.LayerTypeIPv4, gopacket.Default)
	icmp, _ := p.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4)
	if icmp == nil || icmp.TypeCode != layers.CreateICMPv4TypeCode(3, 3) || !bytes.Equal(icmp.Payload, b[:28]) {
		t.Errorf("ICMPv4: got %v, want port unreachable with 28 quoted bytes", p)
	}
	b, err = BuildUDP(caller6, vip6, make([]byte, 1400))
	got, err = d.Refusal(must(t, b, err))
	p = gopacket.NewPacket(must(t, got, err), layers.LayerTypeIPv6, gopacket.Default)
	icmp6, _ := p.Layer(layers.LayerTypeICMPv6).(*layers.ICMPv6)
	if icmp6 == nil || icmp6.TypeCode != layers.CreateICMPv6TypeCode(1, 4) || len(got) > 1280 {
		t.Errorf("ICMPv6: got %v, %d bytes, want port unreachable within 1280 bytes", p, len(got))
	}
}

func testView(t testing.TB, self, peer, target netip.AddrPort) *fleet.View {
	t.Helper()
	kind := fleet.Kind{Name: "Lookup", Weight: 1, Deadline: time.Second, IdleTimeout: time.Second}
	v := &fleet.View{
		Zone: "Monza", Epoch: 1, Sealed: true,
		Members: []fleet.VM{{ID: "a", Data: self}, {ID: "b", Data: peer}},
		Targets: []fleet.Target{{ID: fleet.TargetID{Service: "T/S", Address: target, Incarnation: 1}, Zone: "Monza", Slots: 1, ConnectionLimit: 1, State: fleet.TargetReady}},
		Listeners: []fleet.Listener{
			{Address: vip4, Protocol: fleet.UDP, Service: "T/S", Kind: kind, Answers: fleet.Through},
			{Address: otherVIP4, Protocol: fleet.UDP, Service: "T/Other", Kind: kind, Answers: fleet.Through},
		},
	}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	return v
}

func listen(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Guards against datagrams that are attributed to the wrong kind of sender, and
// against invalid datagrams that are delivered or not counted.
func TestReceive(t *testing.T) {
	conn, self := listen(t)
	peer, peerAddr := listen(t)
	target, targetAddr := listen(t)
	fabric, _ := listen(t)
	a := &Adapter{Conn: conn, Counters: NewCounters()}
	a.SetView(testView(t, self, peerAddr, targetAddr), time.Now())
	got := make(chan *Received, 16)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Receive(ctx, func(r *Received) { got <- r }) }()

	request := mustBuild(t)(BuildUDP(caller4, vip4, quicInitial))
	response := mustBuild(t)(BuildUDP(vip4, caller4, []byte{0x40}))
	pass := balancer.PassHeader{Mode: balancer.ToFirst, Hops: 1, Origin: "b"}
	passed := append(pass.Append([]byte{peerMagic, peerPacket}), request...)
	send := func(from *net.UDPConn, b []byte) { from.WriteToUDPAddrPort(b, self) }
	encapsulate := func(h Header, inner []byte) []byte { return append(h.Append(nil, inner), inner...) }

	malformed := [][]byte{{}, {0x45}, bytes.Repeat([]byte{0xff}, 100), passed[:20], make([]byte, bufferSize+1), {peerMagic, peerMessage, 0, 1}}
	for _, b := range malformed {
		send(fabric, b)
	}
	send(fabric, passed)
	send(fabric, encapsulate(Header{Control: true}, request))
	send(fabric, encapsulate(Header{}, mustBuild(t)(BuildUDP(caller4, netip.MustParseAddrPort("198.18.7.7:1"), quicInitial))))
	send(fabric, encapsulate(Header{Done: true}, request))
	send(target, encapsulate(Header{Control: true, Done: true}, response))
	send(peer, passed)
	send(peer, []byte{peerMagic, peerMessage, 3, 42})

	want := []balancer.Source{balancer.FromFabric, balancer.FromTarget, balancer.FromPeer, 0}
	for i, source := range want {
		r := <-got
		switch {
		case source == 0:
			if string(r.Message) != "\x2a" || r.From != "b" || r.Shard != 3 {
				t.Errorf("message: got %x from %s for shard %d, want 2a from b for shard 3", r.Message, r.From, r.Shard)
			}
		case r.Packet.Source != source || r.Packet.Flow != (fleet.FlowKey{Caller: caller4, VIP: vip4, Protocol: fleet.UDP}):
			t.Errorf("packet %d: got %+v, want source %d and the caller's flow", i, r.Packet, source)
		case (r.Packet.End == balancer.Done) != (source == balancer.FromTarget):
			t.Errorf("packet %d: got end %d; only a target may end a flow by option", i, r.Packet.End)
		case r.Packet.Start != (source != balancer.FromTarget):
			t.Errorf("packet %d: got start %v", i, r.Packet.Start)
		}
		r.Release()
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("Receive: got %v, want no error", err)
	}
	discarded := uint64(0)
	for _, n := range a.Counters.Discarded() {
		discarded += n
	}
	if want := uint64(len(malformed) + 3); discarded != want {
		t.Errorf("discarded: got %d (%v), want %d", discarded, a.Counters.Discarded(), want)
	}
}

func mustBuild(t testing.TB) func([]byte, error) []byte {
	return func(b []byte, err error) []byte { return must(t, b, err) }
}

// Guards against actions whose datagrams go to the wrong receiver or lack
// Geneve options, and against packets that are sent to a target of another
// service.
func TestSender(t *testing.T) {
	conn, self := listen(t)
	peer, peerAddr := listen(t)
	target, targetAddr := listen(t)
	fabric, fabricAddr := listen(t)
	a := &Adapter{Conn: conn, Fabric: []netip.AddrPort{fabricAddr}, Counters: NewCounters()}
	a.SetView(testView(t, self, peerAddr, targetAddr), time.Now())
	request := mustBuild(t)(BuildUDP(caller4, vip4, quicInitial))
	flow := fleet.FlowKey{Caller: caller4, VIP: vip4, Protocol: fleet.UDP}
	id := fleet.TargetID{Service: "T/S", Address: targetAddr, Incarnation: 1}
	wrongFlow := fleet.FlowKey{Caller: caller4, VIP: otherVIP4, Protocol: fleet.UDP}
	s := a.NewSender(5)
	for _, act := range []balancer.Action{
		{Op: balancer.Forward, Flow: wrongFlow, Target: id, Payload: request},
		{Op: balancer.Forward, Flow: flow, Target: id, Payload: request},
		{Op: balancer.Cancel, Flow: flow, Target: id},
		{Op: balancer.Pass, Flow: flow, Peer: "b", Header: balancer.PassHeader{Mode: balancer.ToFirst}, Payload: request},
		{Op: balancer.Pass, Flow: flow, Peer: "nobody", Payload: request},
		{Op: balancer.Control, Peer: "b", Payload: []byte{42}},
		{Op: balancer.Refuse, Flow: flow, Payload: request, Outcome: fleet.NotRun},
		{Op: balancer.Reply, Flow: flow, Payload: request},
	} {
		s.Execute(&act, time.Second)
	}
	s.Flush()
	read := func(c *net.UDPConn) []byte {
		b := make([]byte, bufferSize)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := c.Read(b)
		return must(t, b[:n], err)
	}
	h, inner, err := ParseHeader(read(target))
	if err != nil || h.Flow != flow.Hash() || h.Service != id.Service.Hash() || h.Deadline != time.Second || !bytes.Equal(inner, request) {
		t.Errorf("Forward: got %+v, %x, %v, want the flow, the service, 1s and the request", h, inner, err)
	}
	if h, _, err = ParseHeader(read(target)); err != nil || !h.Cancel || !h.Control {
		t.Errorf("Cancel: got %+v, %v, want a control packet with Cancel", h, err)
	}
	if b := read(peer); b[0] != peerMagic || b[1] != peerPacket || !bytes.HasSuffix(b, request) {
		t.Errorf("Pass: got %x", b)
	}
	if b := read(peer); !bytes.Equal(b, []byte{peerMagic, peerMessage, 5, 42}) {
		t.Errorf("Control: got %x", b)
	}
	if _, inner, err = ParseHeader(read(fabric)); err != nil || inner[9] != 1 {
		t.Errorf("Refuse: got %x, %v, want ICMP", inner, err)
	}
	if _, inner, err = ParseHeader(read(fabric)); err != nil || !bytes.Equal(inner, request) {
		t.Errorf("Reply: got %x, %v", inner, err)
	}
	if n := a.Counters.Discarded()[UnknownTarget]; n != 1 {
		t.Errorf("packets for a target of another service: got %d discarded, want 1", n)
	}
}

// Guards against forwarding the empty packet of a RequestShed to another target
// as if it were the start packet, whether the RequestShed comes from the target
// or is passed by an entry VM. Only a start packet that the target returned may
// be forwarded again.
func TestShed(t *testing.T) {
	self, peer, target := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1"), netip.MustParseAddrPort("192.0.2.3:1")
	a := &Adapter{Counters: NewCounters()}
	a.SetView(testView(t, self, peer, target), time.Unix(0, 0))
	request := mustBuild(t)(BuildUDP(caller4, vip4, quicInitial))
	empty := mustBuild(t)(BuildEmpty(vip4, caller4, fleet.UDP))
	shed := Header{Control: true, Shed: true}
	pass := balancer.PassHeader{Mode: balancer.Answer, Step: uint8(balancer.Shed), Origin: "b"}
	for _, tt := range []struct {
		name  string
		from  netip.AddrPort
		b     []byte
		inner []byte
		want  Reason
	}{
		{"start packet returned", target, append(shed.Append(nil, request), request...), request, ""},
		{"empty", target, append(shed.Append(nil, empty), empty...), nil, ""},
		{"start packet returned, passed by a VM", peer, append(pass.Append([]byte{peerMagic, peerPacket}), request...), request, ""},
		{"empty, passed by a VM", peer, append(pass.Append([]byte{peerMagic, peerPacket}), empty...), nil, ""},
		{"request from a target", target, append((&Header{}).Append(nil, request), request...), nil, BadInner},
	} {
		var r Received
		err := a.decode(NewDecoder(), a.index.Load(), &r, tt.b, tt.from)
		checkReason(t, tt.name, err, tt.want)
		if err == nil && (!bytes.Equal(r.Packet.Payload, tt.inner) || r.Packet.Flow != (fleet.FlowKey{Caller: caller4, VIP: vip4, Protocol: fleet.UDP})) {
			t.Errorf("%s: got %s with %x, want the caller's flow with %x", tt.name, r.Packet.Flow, r.Packet.Payload, tt.inner)
		}
	}
}

// Guards against rejecting the packets of a VM as soon as the VM leaves the
// view, and against accepting them after the grace period.
func TestDepartedPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := netip.MustParseAddrPort("192.0.2.2:1")
	v := testView(t, netip.MustParseAddrPort("192.0.2.1:1"), peer, netip.MustParseAddrPort("192.0.2.3:1"))
	viewWithoutPeer := testView(t, netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.4:1"), netip.MustParseAddrPort("192.0.2.3:1"))
	x := newIndex(v, nil, now)
	x = newIndex(viewWithoutPeer, x, now)
	x = newIndex(viewWithoutPeer, x, now.Add(departedGracePeriod/2))
	if x.peerIDs[peer] != "b" {
		t.Error("the VM that left is unknown within the grace period")
	}
	x = newIndex(viewWithoutPeer, x, now.Add(departedGracePeriod))
	if _, ok := x.peerIDs[peer]; ok {
		t.Error("the VM that left is still known after the grace period")
	}
}

// Guards against panics on malformed headers, and against decoded headers that
// change when they are encoded and decoded again.
func FuzzParseHeader(f *testing.F) {
	h := Header{Deadline: time.Second, Flow: 1, HasLoad: true, Done: true}
	f.Add(append(h.Append(nil, []byte{0x45}), 0x45))
	f.Add(bytes.Repeat([]byte{0x3f}, 300))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, inner, err := ParseHeader(b)
		if err != nil {
			return
		}
		again, rest, err := ParseHeader(append(h.Append(nil, inner), inner...))
		if err != nil || again != h || !bytes.Equal(rest, inner) {
			t.Errorf("got %+v, %v after encoding %+v again", again, err, h)
		}
	})
}

// Guards against panics in Decode and Refusal, and against valid packets whose
// addresses are missing or for which Refusal fails.
func FuzzDecode(f *testing.F) {
	for _, ends := range [][2]netip.AddrPort{{caller4, vip4}, {caller6, vip6}} {
		f.Add(mustBuild(f)(BuildUDP(ends[0], ends[1], quicInitial)))
		f.Add(mustBuild(f)(BuildTCP(ends[0], ends[1], &layers.TCP{SYN: true}, nil)))
	}
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		in, err := d.Decode(b)
		if err != nil {
			return
		}
		if !in.Source.Addr().IsValid() || !in.Destination.Addr().IsValid() {
			t.Errorf("got %+v, want valid addresses", in)
		}
		if _, err := d.Refusal(b); err != nil {
			t.Errorf("refusal of a valid packet: %v", err)
		}
	})
}

// Guards against panics in the decoding of datagrams from all kinds of senders,
// and against errors other than a DecodeError, because only a DecodeError has a
// Reason by which the discarded datagram is counted.
func FuzzDatagram(f *testing.F) {
	self, peer, target := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1"), netip.MustParseAddrPort("192.0.2.3:1")
	a := &Adapter{Counters: NewCounters()}
	a.SetView(testView(f, self, peer, target), time.Unix(0, 0))
	request := mustBuild(f)(BuildUDP(caller4, vip4, quicInitial))
	pass := balancer.PassHeader{Mode: balancer.Answer, Origin: "b"}
	f.Add(append(pass.Append([]byte{peerMagic, peerPacket}), request...), byte(1))
	h := Header{}
	f.Add(append(h.Append(nil, request), request...), byte(0))
	d := NewDecoder()
	sources := []netip.AddrPort{self, peer, target, caller4}
	f.Fuzz(func(t *testing.T, b []byte, from byte) {
		var r Received
		err := a.decode(d, a.index.Load(), &r, b, sources[int(from)%len(sources)])
		var de *DecodeError
		if err != nil && !errors.As(err, &de) {
			t.Errorf("got %v, want a DecodeError", err)
		}
	})
}

// BenchmarkDecode measures the time and allocations of decoding one packet from
// the fabric.
func BenchmarkDecode(b *testing.B) {
	a := &Adapter{Counters: NewCounters()}
	self, peer, target := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1"), netip.MustParseAddrPort("192.0.2.3:1")
	a.SetView(testView(b, self, peer, target), time.Unix(0, 0))
	request := mustBuild(b)(BuildUDP(caller4, vip4, append(bytes.Clone(quicInitial), make([]byte, 1188)...)))
	h := Header{}
	datagram := append(h.Append(nil, request), request...)
	d := NewDecoder()
	var r Received
	b.ReportAllocs()
	for b.Loop() {
		if err := a.decode(d, a.index.Load(), &r, datagram, caller4); err != nil {
			b.Fatal(err)
		}
	}
}
