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

// vm runs the membership and lease machines of one entry VM.
type vm struct {
	z            *zone
	id           fleet.VMID
	members      *membership.Machine
	lease        *lease.Machine
	nextExchange time.Time
}

func (v *vm) Handle(from fleet.VMID, data []byte, now time.Time) []fakenet.Datagram {
	var out []fakenet.Datagram
	switch data[0] {
	case tagMembership:
		m, err := membership.Decode(data[1:])
		if err != nil {
			v.z.t.Fatalf("membership: %v", err)
		}
		out = v.membershipDatagrams(v.members.Handle(from, m, now))
	case tagLease:
		m, err := lease.Decode(data[1:])
		if err != nil {
			v.z.t.Fatalf("lease: %v", err)
		}
		out = v.leaseDatagrams(v.lease.Handle(from, m, now))
	}
	v.z.invariants.checkVM(v)
	return out
}

func (v *vm) Tick(now time.Time) []fakenet.Datagram {
	if !now.Before(v.nextExchange) {
		v.nextExchange = now.Add(50 * time.Millisecond)
		v.lease.SetCandidates(v.members.Candidates(now))
		v.members.SetEpoch(v.lease.View().Epoch)
		v.members.SetFit(v.lease.Connected(now))
	}
	out := append(v.membershipDatagrams(v.members.Tick(now)), v.leaseDatagrams(v.lease.Tick(now))...)
	v.z.invariants.checkVM(v)
	return out
}

func (v *vm) membershipDatagrams(list []membership.Envelope) []fakenet.Datagram {
	var out []fakenet.Datagram
	for _, e := range list {
		data, err := e.Message.Encode()
		out = append(out, v.datagram(e.To, tagMembership, data, err))
	}
	return out
}

func (v *vm) leaseDatagrams(list []lease.Envelope) []fakenet.Datagram {
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

// checker checks the invariants of the package during a run.
type checker struct {
	net           *fakenet.Network
	vms           map[fleet.VMID]*vm
	views         map[fleet.Epoch]string
	lastEpochs    map[*vm]fleet.Epoch
	highestSealed fleet.Epoch // highest epoch that any VM has known to be sealed
	violations    []string
}

func (c *checker) addViolation(format string, args ...any) {
	if len(c.violations) < 5 {
		c.violations = append(c.violations, c.net.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// reset forgets the views and the highest sealed epoch if no running VM has a
// view any more. Epochs may then repeat, because the epoch of a first view only
// has to exceed the epochs that running VMs know.
func (c *checker) reset() {
	for id, v := range c.vms {
		if c.net.Running(id) && v.lease.View().Epoch > 0 {
			return
		}
	}
	c.highestSealed = 0
	clear(c.views)
}

// checkVM checks the view of one VM: its epoch must not decrease, and no other
// VM may have had a different view in the same epoch.
func (c *checker) checkVM(v *vm) {
	view := v.lease.View()
	if view.Epoch < c.lastEpochs[v] {
		c.addViolation("epoch of %s decreases from %d to %d", v.id, c.lastEpochs[v], view.Epoch)
	}
	if view.Epoch == c.lastEpochs[v] {
		return
	}
	c.lastEpochs[v] = view.Epoch
	text := fmt.Sprint(view.Members, view.Targets)
	if old, ok := c.views[view.Epoch]; ok && old != text {
		c.addViolation("two views in epoch %d: %s and %s", view.Epoch, old, text)
	}
	c.views[view.Epoch] = text
}

// checkLeases checks that once any VM has known an epoch to be sealed, no VM,
// frozen or not, holds a valid lease in an earlier epoch.
func (c *checker) checkLeases() {
	for id, v := range c.vms {
		if !c.net.Running(id) {
			continue
		}
		if v.lease.Sealed() {
			c.highestSealed = max(c.highestSealed, v.lease.View().Epoch)
		}
		if s := v.lease.LastSealed(); s != nil {
			c.highestSealed = max(c.highestSealed, s.Epoch)
		}
	}
	for id, v := range c.vms {
		now := c.net.Clock(id)
		if e := v.lease.View().Epoch; c.net.Running(id) && e < c.highestSealed && v.lease.LeaseUntil(now).After(now) {
			c.addViolation("%s holds a lease in epoch %d after epoch %d is sealed", id, e, c.highestSealed)
		}
	}
}

// zone is one zone of VMs on a fake network.
type zone struct {
	t                   testing.TB
	net                 *fakenet.Network
	rng                 *rand.Rand
	ids                 []fleet.VMID
	council             lease.Council
	vms                 map[fleet.VMID]*vm
	lastIncarnation     fleet.Incarnation
	invariants          *checker
	configureMembership func(*membership.Config)
	configureLease      func(*lease.Config)
}

func newZone(t testing.TB, seed uint64, n int) *zone {
	rng := rand.New(rand.NewPCG(seed, 1))
	z := &zone{t: t, net: fakenet.New(rng), rng: rng, vms: make(map[fleet.VMID]*vm)}
	z.invariants = &checker{net: z.net, vms: z.vms, views: make(map[fleet.Epoch]string), lastEpochs: make(map[*vm]fleet.Epoch)}
	z.net.OnStep = z.invariants.checkLeases
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
	z.lastIncarnation++
	now := z.net.Clock(id)
	mc := membership.Config{Self: z.vm(id), Zone: "monza", Incarnation: z.lastIncarnation, Rand: rand.New(rand.NewPCG(z.rng.Uint64(), 2))}
	for _, c := range z.council.Members {
		mc.Seeds = append(mc.Seeds, z.vm(c))
	}
	lc := lease.Config{Self: z.vm(id), Zone: "monza", Incarnation: z.lastIncarnation, Rand: rand.New(rand.NewPCG(z.rng.Uint64(), 3))}
	if z.configureMembership != nil {
		z.configureMembership(&mc)
	}
	if z.configureLease != nil {
		z.configureLease(&lc)
	}
	v := &vm{z: z, id: id, members: membership.New(mc, now), lease: lease.New(lc, now)}
	v.lease.SetCouncil(z.council, now)
	z.net.Stop(id)
	z.invariants.reset()
	z.vms[id] = v
	z.net.Start(id, v)
	return v
}

func (z *zone) startAll() {
	for _, id := range z.ids {
		z.start(id)
	}
}

// converged reports whether all running VMs that are not frozen have a sealed
// view of the same epoch and hold valid leases. The view must have as many
// members as there are such VMs.
func (z *zone) converged() bool {
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

func (z *zone) mustConverge(limit time.Duration, context string) {
	z.t.Helper()
	if !z.net.RunUntil(limit, z.converged) {
		for _, id := range z.ids {
			v := z.vms[id]
			z.t.Logf("%s running %v epoch %d sealed %v lease %v voting %v members %d %+v", id, z.net.Running(id), v.lease.View().Epoch,
				v.lease.Sealed(), v.lease.MayDecide(z.net.Clock(id)), v.lease.Voting(), len(v.lease.View().Members), v.lease.Stats())
		}
		z.t.Fatalf("%s: zone does not converge within %v", context, limit)
	}
}

func (z *zone) checkInvariants(context string) {
	z.t.Helper()
	for _, p := range z.invariants.violations {
		z.t.Errorf("%s: %s", context, p)
	}
}
