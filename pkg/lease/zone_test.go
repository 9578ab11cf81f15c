package lease_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/fakenet"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/lease"
	"bamboowalk.org/bamboowalk/pkg/membership"
)

const (
	tagMembership = 0
	tagLease      = 1
)

// vm runs both state machines of one entry VM.
type vm struct {
	z     *zone
	id    fleet.VMID
	mem   *membership.Machine
	lease *lease.Machine
	next  time.Time
}

func (v *vm) Handle(from fleet.VMID, data []byte, now time.Time) []fakenet.Datagram {
	var out []fakenet.Datagram
	switch data[0] {
	case tagMembership:
		m, err := membership.Decode(data[1:])
		if err != nil {
			v.z.t.Fatalf("membership: %v", err)
		}
		out = v.members(v.mem.Handle(from, m, now))
	case tagLease:
		m, err := lease.Decode(data[1:])
		if err != nil {
			v.z.t.Fatalf("lease: %v", err)
		}
		out = v.leases(v.lease.Handle(from, m, now))
	}
	v.z.check.observe(v)
	return out
}

func (v *vm) Tick(now time.Time) []fakenet.Datagram {
	if !now.Before(v.next) {
		v.next = now.Add(50 * time.Millisecond)
		v.lease.SetCandidates(v.mem.Candidates(now))
		v.mem.SetEpoch(v.lease.View().Epoch)
	}
	out := append(v.members(v.mem.Tick(now)), v.leases(v.lease.Tick(now))...)
	v.z.check.observe(v)
	return out
}

func (v *vm) members(list []membership.Envelope) []fakenet.Datagram {
	var out []fakenet.Datagram
	for _, e := range list {
		data, err := e.Message.Encode()
		out = append(out, v.datagram(e.To, tagMembership, data, err))
	}
	return out
}

func (v *vm) leases(list []lease.Envelope) []fakenet.Datagram {
	var out []fakenet.Datagram
	for _, e := range list {
		data, err := e.Message.Encode()
		if len(data) > lease.MaxDatagram {
			v.z.t.Errorf("lease datagram of kind %d: got %d bytes, want at most %d", e.Message.Kind, len(data), lease.MaxDatagram)
		}
		out = append(out, v.datagram(e.To, tagLease, data, err))
	}
	return out
}

func (v *vm) datagram(to fleet.VMID, tag byte, data []byte, err error) fakenet.Datagram {
	if err != nil {
		v.z.t.Fatalf("encode: %v", err)
	}
	return fakenet.Datagram{To: to, Data: append([]byte{tag}, data...)}
}

// checker holds the invariants of the package over a whole run.
type checker struct {
	net      *fakenet.Network
	vms      map[fleet.VMID]*vm
	views    map[fleet.Epoch]string
	last     map[*vm]fleet.Epoch
	sealed   fleet.Epoch // highest epoch that any VM ever saw as sealed
	problems []string
}

func (c *checker) fail(format string, args ...any) {
	if len(c.problems) < 5 {
		c.problems = append(c.problems, c.net.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// forget starts over where no process remembers an epoch any more: a first view
// lies only above the epochs known to any VM of the zone.
func (c *checker) forget() {
	for id, v := range c.vms {
		if c.net.Running(id) && v.lease.View().Epoch > 0 {
			return
		}
	}
	c.sealed = 0
	clear(c.views)
}

// observe checks what one VM alone shows: one view per epoch, epochs that do
// not fall.
func (c *checker) observe(v *vm) {
	view := v.lease.View()
	if view.Epoch < c.last[v] {
		c.fail("epoch of %s falls from %d to %d", v.id, c.last[v], view.Epoch)
	}
	if view.Epoch == c.last[v] {
		return
	}
	c.last[v] = view.Epoch
	text := fmt.Sprint(view.Members, view.Targets)
	if old, ok := c.views[view.Epoch]; ok && old != text {
		c.fail("two views in epoch %d: %s and %s", view.Epoch, old, text)
	}
	c.views[view.Epoch] = text
}

// step checks what VMs show together: once an epoch is sealed, no VM, frozen
// or not, holds a valid lease in an earlier one.
func (c *checker) step() {
	for id, v := range c.vms {
		if !c.net.Running(id) {
			continue
		}
		if v.lease.Sealed() {
			c.sealed = max(c.sealed, v.lease.View().Epoch)
		}
		if s := v.lease.LastSealed(); s != nil {
			c.sealed = max(c.sealed, s.Epoch)
		}
	}
	for id, v := range c.vms {
		now := c.net.Clock(id)
		if e := v.lease.View().Epoch; c.net.Running(id) && e < c.sealed && v.lease.LeaseUntil(now).After(now) {
			c.fail("%s holds a lease in epoch %d after epoch %d is sealed", id, e, c.sealed)
		}
	}
}

// zone is one zone of VMs on a fake network.
type zone struct {
	t       testing.TB
	net     *fakenet.Network
	rng     *rand.Rand
	ids     []fleet.VMID
	council lease.Council
	vms     map[fleet.VMID]*vm
	lives   fleet.Incarnation
	check   *checker
	mem     func(*membership.Config)
	cfg     func(*lease.Config)
}

func newZone(t testing.TB, seed uint64, n int) *zone {
	rng := rand.New(rand.NewPCG(seed, 1))
	z := &zone{t: t, net: fakenet.New(rng), rng: rng, vms: make(map[fleet.VMID]*vm)}
	z.check = &checker{net: z.net, vms: z.vms, views: make(map[fleet.Epoch]string), last: make(map[*vm]fleet.Epoch)}
	z.net.OnStep = z.check.step
	for i := range n {
		z.ids = append(z.ids, fleet.VMID(fmt.Sprintf("monza-%03d", i)))
	}
	z.council = lease.Council{Revision: 1, Members: slices.Clone(z.ids[:min(n, lease.MaxCouncil)])}
	return z
}

func (z *zone) vm(id fleet.VMID) fleet.VM {
	i := slices.Index(z.ids, id)
	addr := netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})
	return fleet.VM{ID: id, Control: netip.AddrPortFrom(addr, 7000), Data: netip.AddrPortFrom(addr, 7001)}
}

func (z *zone) start(id fleet.VMID) *vm {
	z.lives++
	now := z.net.Clock(id)
	mc := membership.Config{Self: z.vm(id), Zone: "monza", Incarnation: z.lives, Rand: rand.New(rand.NewPCG(z.rng.Uint64(), 2))}
	for _, c := range z.council.Members {
		mc.Seeds = append(mc.Seeds, z.vm(c))
	}
	lc := lease.Config{Self: z.vm(id), Zone: "monza", Incarnation: z.lives, Rand: rand.New(rand.NewPCG(z.rng.Uint64(), 3))}
	if z.mem != nil {
		z.mem(&mc)
	}
	if z.cfg != nil {
		z.cfg(&lc)
	}
	v := &vm{z: z, id: id, mem: membership.New(mc, now), lease: lease.New(lc, now)}
	v.lease.SetCouncil(z.council, now)
	z.net.Stop(id)
	z.check.forget()
	z.vms[id] = v
	z.net.Start(id, v)
	return v
}

func (z *zone) startAll() {
	for _, id := range z.ids {
		z.start(id)
	}
}

// settled reports whether all running VMs share one sealed view of exactly
// the running VMs, with valid leases.
func (z *zone) settled() bool {
	var epoch fleet.Epoch
	running := 0
	for _, id := range z.ids {
		if !z.net.Running(id) || z.net.Frozen(id) {
			continue
		}
		running++
		v := z.vms[id]
		if !v.lease.MayDecide(z.net.Clock(id)) || (epoch != 0 && v.lease.View().Epoch != epoch) {
			return false
		}
		epoch = v.lease.View().Epoch
	}
	for _, id := range z.ids {
		if z.net.Running(id) && !z.net.Frozen(id) {
			return len(z.vms[id].lease.View().Members) == running
		}
	}
	return true
}

func (z *zone) mustSettle(limit time.Duration, what string) {
	z.t.Helper()
	if !z.net.RunUntil(limit, z.settled) {
		for _, id := range z.ids {
			v := z.vms[id]
			z.t.Logf("%s running %v epoch %d sealed %v lease %v voting %v members %d %+v", id, z.net.Running(id), v.lease.View().Epoch,
				v.lease.Sealed(), v.lease.MayDecide(z.net.Clock(id)), v.lease.Voting(), len(v.lease.View().Members), v.lease.Stats())
		}
		z.t.Fatalf("%s: zone does not settle in %v", what, limit)
	}
}

func (z *zone) mustHold(what string) {
	z.t.Helper()
	for _, p := range z.check.problems {
		z.t.Errorf("%s: %s", what, p)
	}
}
