package load

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// tick is the time between two calls of Decider.Tick.
	tick = 5 * time.Millisecond
	// detectTime is the time after which the fabric and the zone views leave
	// out a lost VM or target, or mark a cut zone as unreachable.
	detectTime = time.Second
	// viewSpread is the longest delay with which a VM takes a new view.
	viewSpread = 100 * time.Millisecond
	// sealTime is the time from a new epoch to its seal.
	sealTime = 300 * time.Millisecond
	// digestTime is the time between two digests of free slots.
	digestTime = 500 * time.Millisecond
	// coldTime is the time in which a target that has just started is slow.
	coldTime = 2 * time.Second
	// coldFactor multiplies service times in that time.
	coldFactor = 3
	// resendTime is the time after which a target resends an answer that an
	// entry VM did not take, and resends is the number of attempts.
	resendTime = 200 * time.Millisecond
	resends    = 10
)

type (
	// world is the fleet with its callers in virtual time.
	world struct {
		clock
		load    *Workload
		zones   []*zone
		vms     []*vm
		targets []*target
		kinds   []*kindState
		byFlow  map[fleet.FlowKey]*attempt
		byVM    map[fleet.VMID]*vm
		byID    map[fleet.TargetID]*target
		sprayed []*vm // VMs to which the fabric sends packets
		spray   *rand.Rand
		random  *rand.Rand
		result  *collector
		actions []balancer.Action
	}

	zone struct {
		id     fleet.ZoneID
		index  int
		spec   ZoneSpec
		cut    bool
		epoch  fleet.Epoch
		sealed bool
		// known and targets are those of the present epoch.
		known   []*vm
		targets []fleet.Target
		around  []bool
		spare   map[fleet.ServiceID]int
	}

	vm struct {
		id      fleet.VMID
		zone    *zone
		alive   bool
		decider Decider
		// views counts the views that the VM was sent, so that it does not
		// take an older one after a newer one.
		views int
	}

	// payloads tell the receiver what a packet is, as its bytes would.
	payload = []byte
)

var (
	startPayload = payload{1, uint8(balancer.NoEnd)}
	ackPayload   = payload{0, uint8(balancer.NoEnd)}
	resetPayload = payload{0, uint8(balancer.Reset)}
)

func newWorld(load *Workload, seed uint64, newDecider NewDecider) (*world, error) {
	w := &world{
		load:   load,
		byFlow: make(map[fleet.FlowKey]*attempt),
		byVM:   make(map[fleet.VMID]*vm),
		byID:   make(map[fleet.TargetID]*target),
		spray:  rand.New(rand.NewPCG(seed, 1)),
		random: rand.New(rand.NewPCG(seed, 2)),
	}
	f := &load.Fleet
	for _, d := range []time.Duration{f.ClientLatency, f.ZoneLatency, f.PassLatency, forgetTime} {
		w.addLane(d)
	}
	for _, k := range load.Kinds {
		w.addLane(k.Deadline)
		w.addLane(k.Retransmit)
	}
	w.result = newCollector(w)
	w.addFleet(newDecider)
	for i := range load.Kinds {
		w.addKind(i, seed)
	}
	for _, z := range w.zones {
		if err := w.publish(z, 0); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addFleet(newDecider NewDecider) {
	for i, spec := range w.load.Fleet.Zones {
		z := &zone{id: spec.ID, index: i, spec: spec, around: make([]bool, len(w.load.Fleet.Zones)), spare: make(map[fleet.ServiceID]int)}
		for j := range z.around {
			z.around[j] = true
		}
		w.zones = append(w.zones, z)
		for j := range spec.VMs {
			v := &vm{id: fleet.VMID(fmt.Sprintf("%s-%d", spec.ID, j)), zone: z, alive: true}
			v.decider = newDecider(v.id)
			w.vms = append(w.vms, v)
			w.byVM[v.id] = v
			z.known = append(z.known, v)
		}
		for j, service := range w.load.Fleet.Services {
			for k := range service.Targets[spec.ID] {
				w.addTarget(z, &w.load.Fleet.Services[j], i, j, k)
			}
		}
	}
	w.sprayed = append(w.sprayed, w.vms...)
}

func (w *world) addTarget(z *zone, service *ServiceSpec, i, j, k int) {
	address := netip.AddrFrom4([4]byte{198, 18, byte(i*16 + j), byte(k + 1)})
	t := &target{
		world:   w,
		zone:    z,
		service: service,
		alive:   true,
		runs:    make(map[fleet.FlowKey]*run),
		public: fleet.Target{
			ID:              fleet.TargetID{Service: service.ID, Address: netip.AddrPortFrom(address, 80), Incarnation: 1},
			Zone:            z.id,
			Slots:           service.Slots,
			ConnectionLimit: service.ConnectionLimit,
			State:           fleet.TargetReady,
		},
	}
	w.targets = append(w.targets, t)
	z.targets = append(z.targets, t.public)
	w.byID[t.public.ID] = t
}

// run advances the world until the last deadline has passed.
func (w *world) run() {
	longest := time.Duration(0)
	for i := range w.kinds {
		longest = max(longest, w.kinds[i].spec.Deadline)
		w.arrivals(i)
	}
	for i := range w.load.Faults {
		f := w.load.Faults[i]
		w.after(f.At, func() { w.inject(f) })
	}
	w.after(tick, w.tickAll)
	w.after(digestTime, w.digest)
	w.after(sampleTime, w.sample)
	// Long requests that arrived near the end are cut off rather than awaited;
	// the collector counts them as open.
	end := w.load.Duration + min(longest, drainTime)
	for w.step(end) {
		// Late packets of the last requests are still watched for a while.
		if w.now > w.load.Duration && w.result.open == 0 {
			end = min(end, w.now+forgetTime)
		}
	}
}

func (w *world) tickAll() {
	now := w.wall()
	for _, v := range w.vms {
		if !v.alive {
			continue
		}
		if core, ok := v.decider.(leased); ok {
			core.SetLease(now.Add(leaseTime))
		}
		w.perform(v, v.decider.Tick(now, w.actions[:0]))
	}
	w.after(tick, w.tickAll)
}

func (w *world) sample() {
	w.result.sample()
	if w.now < w.load.Duration {
		w.after(sampleTime, w.sample)
	}
}

// fromCaller sends a packet of a caller through the fabric.
func (w *world) fromCaller(flow fleet.FlowKey, p payload) {
	if len(w.sprayed) == 0 {
		return
	}
	v := w.sprayed[w.spray.IntN(len(w.sprayed))]
	w.after(w.load.Fleet.ClientLatency, func() {
		w.deliver(v, balancer.Packet{Flow: flow, Source: balancer.FromFabric, Payload: p})
	})
}

// deliver hands a packet to a VM; it reports false where the VM is lost.
func (w *world) deliver(v *vm, p balancer.Packet) bool {
	if !v.alive {
		w.result.lostPackets++
		return false
	}
	if p.Source != balancer.FromTarget {
		p.Start = p.Payload[0] != 0
		p.End = balancer.End(p.Payload[1])
	}
	w.result.packets++
	w.perform(v, v.decider.Handle(p, w.wall(), w.actions[:0]))
	return true
}

// perform does what the adapter of an entry VM does with actions.
func (w *world) perform(from *vm, actions []balancer.Action) {
	w.actions = actions
	for i := range actions {
		w.act(from, &actions[i])
	}
}

func (w *world) act(from *vm, a *balancer.Action) {
	flow, bytes := a.Flow, a.Payload
	switch a.Op {
	case balancer.Forward, balancer.Cancel:
		t := w.byID[a.Target]
		d, ok := w.path(from.zone, t.zone)
		if !ok {
			w.result.lostPackets++
			return
		}
		cancel := a.Op == balancer.Cancel
		w.after(d, func() { t.receive(flow, from, bytes, cancel) })
	case balancer.Pass:
		to := w.byVM[a.Peer]
		w.result.passes++
		if to == nil {
			w.result.lostPackets++
			return
		}
		d, ok := w.path(from.zone, to.zone)
		if !ok {
			w.result.lostPackets++
			return
		}
		header := a.Header
		w.after(d, func() {
			w.deliver(to, balancer.Packet{Flow: flow, Source: balancer.FromPeer, Header: header, Payload: bytes})
		})
	case balancer.Control:
		w.control(from, w.byVM[a.Peer], bytes)
	case balancer.Refuse:
		cause, outcome := a.Cause, a.Outcome
		w.after(w.load.Fleet.ClientLatency, func() { w.refused(flow, cause, outcome) })
	case balancer.Reply:
		w.after(w.load.Fleet.ClientLatency, func() { w.answered(flow) })
	case balancer.Drop:
		w.result.drops[a.Cause]++
	}
}

// control sends a control message to another entry VM.
func (w *world) control(from, to *vm, body []byte) {
	w.result.controlBytes += len(body)
	if to == nil {
		return
	}
	d, ok := w.path(from.zone, to.zone)
	if !ok {
		return
	}
	w.after(d, func() {
		core, ok := to.decider.(controlled)
		if ok && to.alive {
			w.perform(to, core.HandleControl(from.id, body, w.wall(), w.actions[:0]))
		}
	})
}

// path returns the latency between two zones, and false where they are cut.
func (w *world) path(a, b *zone) (time.Duration, bool) {
	if a == b {
		return w.load.Fleet.PassLatency, true
	}
	return w.load.Fleet.ZoneLatency, !a.cut && !b.cut
}

// inject applies a fault and, once it is detected, its effect on the views.
func (w *world) inject(f FaultSpec) {
	z := w.zones[w.load.Fleet.zone(f.Zone)]
	switch f.Action {
	case LoseVM:
		for _, v := range w.vms {
			if v.zone == z && v.alive && f.Count > 0 {
				v.alive = false
				f.Count--
			}
		}
	case LoseTarget:
		for _, t := range w.targets {
			if t.zone == z && t.service.ID == f.Service && t.alive && f.Count > 0 {
				t.lose()
				f.Count--
			}
		}
	case ReturnTarget:
		for _, t := range w.targets {
			if t.zone == z && t.service.ID == f.Service && !t.alive && f.Count > 0 {
				t.restart()
				f.Count--
			}
		}
	case CutZone, HealZone:
		z.cut = f.Action == CutZone
	}
	w.after(detectTime, func() { w.detect() })
}

// detect brings fabric and views in line with what is true.
func (w *world) detect() {
	w.sprayed = w.sprayed[:0]
	for _, v := range w.vms {
		if v.alive {
			w.sprayed = append(w.sprayed, v)
		}
	}
	for _, z := range w.zones {
		for i, other := range w.zones {
			z.around[i] = z == other || !z.cut && !other.cut
		}
		z.known = z.known[:0]
		for _, v := range w.vms {
			if v.zone == z && v.alive {
				z.known = append(z.known, v)
			}
		}
		z.targets = z.targets[:0]
		for _, t := range w.targets {
			if t.zone == z && t.alive {
				z.targets = append(z.targets, t.public)
			}
		}
	}
	for _, z := range w.zones {
		// The state of the world was valid at the start, so that a view of it
		// is valid too.
		_ = w.publish(z, viewSpread)
	}
}

// publish sends a new epoch to the VMs of a zone, and its seal later.
func (w *world) publish(z *zone, spread time.Duration) error {
	z.epoch++
	z.sealed = spread == 0
	epoch := z.epoch
	for _, v := range w.vms {
		if v.zone != z {
			continue
		}
		if err := w.sendView(v, z.sealed, spread); err != nil {
			return err
		}
	}
	if spread == 0 {
		return nil
	}
	w.after(sealTime, func() {
		if z.epoch != epoch {
			return
		}
		z.sealed = true
		for _, v := range w.vms {
			if v.zone == z {
				_ = w.sendView(v, true, 0)
			}
		}
	})
	return nil
}

func (w *world) sendView(v *vm, sealed bool, spread time.Duration) error {
	view, err := w.view(v, sealed)
	if err != nil {
		return err
	}
	v.views++
	n := v.views
	d := time.Duration(0)
	if spread > 0 {
		d = time.Duration(w.random.Int64N(int64(spread)))
	}
	if d == 0 {
		v.decider.SetView(view, w.wall())
		return nil
	}
	w.after(d, func() {
		if v.alive && v.views == n {
			v.decider.SetView(view, w.wall())
		}
	})
	return nil
}

func (w *world) view(self *vm, sealed bool) (*fleet.View, error) {
	v := &fleet.View{Zone: self.zone.id, Self: self.id, Epoch: self.zone.epoch, Sealed: sealed, Revision: 1}
	for _, z := range w.zones {
		seen := fleet.Zone{
			ID:        z.id,
			Weight:    z.spec.Weight,
			State:     fleet.In,
			Reachable: self.zone.around[z.index],
			Spare:     z.spare,
		}
		for _, service := range w.load.Fleet.Services {
			if service.Targets[z.id] > 0 {
				seen.Services = append(seen.Services, service.ID)
			}
		}
		for _, m := range z.known {
			seen.Members = append(seen.Members, address(m))
		}
		v.Zones = append(v.Zones, seen)
		if z == self.zone {
			v.Members = append(v.Members, seen.Members...)
		}
	}
	v.Targets = append(v.Targets, self.zone.targets...)
	for _, k := range w.kinds {
		v.Listeners = append(v.Listeners, k.listener)
	}
	if len(w.kinds) == 0 {
		return v, nil
	}
	return v, v.Freeze()
}

func address(v *vm) fleet.VM {
	return fleet.VM{ID: v.id}
}

// digest exchanges the free slots of the zones.
func (w *world) digest() {
	for _, z := range w.zones {
		spare := make(map[fleet.ServiceID]int)
		for _, t := range w.targets {
			if t.zone == z && t.alive {
				spare[t.service.ID] += max(0, t.service.Slots-t.busy)
			}
		}
		z.spare = spare
	}
	for _, v := range w.vms {
		if v.alive && v.views > 0 {
			_ = w.sendView(v, v.zone.sealed, 0)
		}
	}
	w.after(digestTime, w.digest)
}
