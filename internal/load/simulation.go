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
	// tickInterval is the time between two calls of Decider.Tick.
	tickInterval = 5 * time.Millisecond
	// detectionDelay is the time from a fault until the fabric and the zone
	// views leave out a lost VM or target, or mark a cut zone as unreachable.
	detectionDelay = time.Second
	// maxViewDelay is the longest delay with which a VM receives a new view.
	maxViewDelay = 100 * time.Millisecond
	// sealDelay is the time from the start of an epoch to its seal.
	sealDelay = 300 * time.Millisecond
	// digestInterval is the interval at which zones exchange their numbers of
	// free slots.
	digestInterval = 500 * time.Millisecond
	// coldDuration is the time for which a restarted target is still slow after
	// detectionDelay has passed since the restart.
	coldDuration = 2 * time.Second
	// coldFactor multiplies the service times of a target that is slow after a
	// restart.
	coldFactor = 3
	// resendInterval is the time after which a target resends an answer that
	// did not reach an entry VM. maxSendAttempts is the maximum number of times
	// that a target sends an answer.
	resendInterval  = 200 * time.Millisecond
	maxSendAttempts = 10
)

type (
	// simulation is a fleet and its callers in virtual time.
	simulation struct {
		clock
		workload      *Workload
		zones         []*zone
		vms           []*vm
		targets       []*target
		kinds         []*kindState
		attemptByFlow map[fleet.FlowKey]*attempt
		vmByID        map[fleet.VMID]*vm
		targetByID    map[fleet.TargetID]*target
		fabricVMs     []*vm // VMs to which the fabric sends packets
		fabricRand    *rand.Rand
		viewRand      *rand.Rand
		results       *collector
		actionBuf     []balancer.Action
	}

	zone struct {
		id     fleet.ZoneID
		index  int
		spec   ZoneSpec
		cut    bool
		epoch  fleet.Epoch
		sealed bool
		// liveVMs and targets are those of the current epoch.
		liveVMs    []*vm
		targets    []fleet.Target
		reachable  []bool
		spareSlots map[fleet.ServiceID]int
	}

	vm struct {
		id      fleet.VMID
		zone    *zone
		alive   bool
		decider Decider
		// viewCount counts the views sent to the VM, so that a delayed older
		// view does not replace a newer one.
		viewCount int
	}

	// payload is the content of a simulated packet: a start flag and a
	// balancer.End, one byte each.
	payload = []byte
)

var (
	startPayload = payload{1, uint8(balancer.NoEnd)}
	ackPayload   = payload{0, uint8(balancer.NoEnd)}
	resetPayload = payload{0, uint8(balancer.Reset)}
)

func newSimulation(workload *Workload, seed uint64, newDecider DeciderConstructor) (*simulation, error) {
	sim := &simulation{
		workload:      workload,
		attemptByFlow: make(map[fleet.FlowKey]*attempt),
		vmByID:        make(map[fleet.VMID]*vm),
		targetByID:    make(map[fleet.TargetID]*target),
		fabricRand:    rand.New(rand.NewPCG(seed, 1)),
		viewRand:      rand.New(rand.NewPCG(seed, 2)),
	}
	f := &workload.Fleet
	for _, d := range []time.Duration{f.ClientLatency, f.ZoneLatency, f.PassLatency, lingerTime} {
		sim.addDelayQueue(d)
	}
	for _, k := range workload.Kinds {
		sim.addDelayQueue(k.Deadline)
		sim.addDelayQueue(k.Retransmit)
	}
	sim.results = newCollector(sim)
	sim.addFleet(newDecider)
	for i := range workload.Kinds {
		sim.addKind(i, seed)
	}
	for _, z := range sim.zones {
		if err := sim.publishEpoch(z, 0); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

func (sim *simulation) addFleet(newDecider DeciderConstructor) {
	for i, spec := range sim.workload.Fleet.Zones {
		z := &zone{id: spec.ID, index: i, spec: spec, reachable: make([]bool, len(sim.workload.Fleet.Zones)), spareSlots: make(map[fleet.ServiceID]int)}
		for j := range z.reachable {
			z.reachable[j] = true
		}
		sim.zones = append(sim.zones, z)
		for j := range spec.VMs {
			v := &vm{id: fleet.VMID(fmt.Sprintf("%s-%d", spec.ID, j)), zone: z, alive: true}
			v.decider = newDecider(v.id)
			sim.vms = append(sim.vms, v)
			sim.vmByID[v.id] = v
			z.liveVMs = append(z.liveVMs, v)
		}
		for j, service := range sim.workload.Fleet.Services {
			for k := range service.Targets[spec.ID] {
				sim.addTarget(z, &sim.workload.Fleet.Services[j], i, j, k)
			}
		}
	}
	sim.fabricVMs = append(sim.fabricVMs, sim.vms...)
}

func (sim *simulation) addTarget(z *zone, service *ServiceSpec, i, j, k int) {
	address := netip.AddrFrom4([4]byte{198, 18, byte(i*16 + j), byte(k + 1)})
	t := &target{
		sim:     sim,
		zone:    z,
		service: service,
		alive:   true,
		runs:    make(map[fleet.FlowKey]*run),
		fleetTarget: fleet.Target{
			ID:              fleet.TargetID{Service: service.ID, Address: netip.AddrPortFrom(address, 80), Incarnation: 1},
			Zone:            z.id,
			Slots:           service.Slots,
			ConnectionLimit: service.ConnectionLimit,
			State:           fleet.TargetReady,
		},
	}
	sim.targets = append(sim.targets, t)
	z.targets = append(z.targets, t.fleetTarget)
	sim.targetByID[t.fleetTarget.ID] = t
}

// run processes the events of the run. After Duration, the run continues until
// all requests are closed, and then for lingerTime. It ends no later than
// Duration plus the longest deadline of all kinds, or Duration plus
// maxDrainTime if that is shorter.
func (sim *simulation) run() {
	longest := time.Duration(0)
	for i := range sim.kinds {
		longest = max(longest, sim.kinds[i].spec.Deadline)
		sim.scheduleArrival(i)
	}
	for i := range sim.workload.Faults {
		f := sim.workload.Faults[i]
		sim.after(f.At, func() { sim.injectFault(f) })
	}
	sim.after(tickInterval, sim.tickVMs)
	sim.after(digestInterval, sim.exchangeDigests)
	sim.after(sampleInterval, sim.sample)
	// Requests with long deadlines that arrived near the end are not awaited;
	// the collector counts them as open.
	end := sim.workload.Duration + min(longest, maxDrainTime)
	for sim.step(end) {
		// Late packets of the last requests are processed for lingerTime.
		if sim.now > sim.workload.Duration && sim.results.open == 0 {
			end = min(end, sim.now+lingerTime)
		}
	}
}

func (sim *simulation) tickVMs() {
	now := sim.wallTime()
	for _, v := range sim.vms {
		if !v.alive {
			continue
		}
		if core, ok := v.decider.(leaseHolder); ok {
			core.SetLease(now.Add(leaseDuration))
		}
		sim.performActions(v, v.decider.Tick(now, sim.actionBuf[:0]))
	}
	sim.after(tickInterval, sim.tickVMs)
}

func (sim *simulation) sample() {
	sim.results.recordSample()
	if sim.now < sim.workload.Duration {
		sim.after(sampleInterval, sim.sample)
	}
}

// sendFromCaller sends a packet of a caller through the fabric to a random VM.
func (sim *simulation) sendFromCaller(flow fleet.FlowKey, p payload) {
	if len(sim.fabricVMs) == 0 {
		return
	}
	v := sim.fabricVMs[sim.fabricRand.IntN(len(sim.fabricVMs))]
	sim.after(sim.workload.Fleet.ClientLatency, func() {
		sim.deliver(v, balancer.Packet{Flow: flow, Source: balancer.FromFabric, Payload: p})
	})
}

// deliver delivers a packet to a VM; it reports false if the VM is lost.
func (sim *simulation) deliver(v *vm, p balancer.Packet) bool {
	if !v.alive {
		sim.results.lostPackets++
		return false
	}
	if p.Source != balancer.FromTarget {
		p.Start = p.Payload[0] != 0
		p.End = balancer.End(p.Payload[1])
	}
	sim.results.packets++
	sim.performActions(v, v.decider.Handle(p, sim.wallTime(), sim.actionBuf[:0]))
	return true
}

// performActions carries out the actions that a VM's decision core returned.
func (sim *simulation) performActions(from *vm, actions []balancer.Action) {
	sim.actionBuf = actions
	for i := range actions {
		sim.performAction(from, &actions[i])
	}
}

func (sim *simulation) performAction(from *vm, a *balancer.Action) {
	flow, data := a.Flow, a.Payload
	switch a.Op {
	case balancer.Forward, balancer.Cancel:
		t := sim.targetByID[a.Target]
		d, ok := sim.pathLatency(from.zone, t.zone)
		if !ok {
			sim.results.lostPackets++
			return
		}
		cancel := a.Op == balancer.Cancel
		sim.after(d, func() { t.receive(flow, from, data, cancel) })
	case balancer.Pass:
		to := sim.vmByID[a.Peer]
		sim.results.passes++
		if to == nil {
			sim.results.lostPackets++
			return
		}
		d, ok := sim.pathLatency(from.zone, to.zone)
		if !ok {
			sim.results.lostPackets++
			return
		}
		header := a.Header
		sim.after(d, func() {
			sim.deliver(to, balancer.Packet{Flow: flow, Source: balancer.FromPeer, Header: header, Payload: data})
		})
	case balancer.Control:
		sim.sendControl(from, sim.vmByID[a.Peer], data)
	case balancer.Refuse:
		cause, outcome := a.Cause, a.Outcome
		sim.after(sim.workload.Fleet.ClientLatency, func() { sim.handleRefusal(flow, cause, outcome) })
	case balancer.Reply:
		sim.after(sim.workload.Fleet.ClientLatency, func() { sim.handleAnswer(flow) })
	case balancer.Drop:
		sim.results.drops[a.Cause]++
	}
}

// sendControl sends a control message to another entry VM.
func (sim *simulation) sendControl(from, to *vm, body []byte) {
	sim.results.controlBytes += len(body)
	if to == nil {
		return
	}
	d, ok := sim.pathLatency(from.zone, to.zone)
	if !ok {
		return
	}
	sim.after(d, func() {
		core, ok := to.decider.(controlHandler)
		if ok && to.alive {
			sim.performActions(to, core.HandleControl(from.id, body, sim.wallTime(), sim.actionBuf[:0]))
		}
	})
}

// pathLatency returns the latency between two zones, and false if one of them is
// cut off.
func (sim *simulation) pathLatency(a, b *zone) (time.Duration, bool) {
	if a == b {
		return sim.workload.Fleet.PassLatency, true
	}
	return sim.workload.Fleet.ZoneLatency, !a.cut && !b.cut
}

// injectFault applies a fault, and updates the views after detectionDelay.
func (sim *simulation) injectFault(f FaultSpec) {
	z := sim.zones[sim.workload.Fleet.zone(f.Zone)]
	switch f.Action {
	case LoseVM:
		for _, v := range sim.vms {
			if v.zone == z && v.alive && f.Count > 0 {
				v.alive = false
				f.Count--
			}
		}
	case LoseTarget:
		for _, t := range sim.targets {
			if t.zone == z && t.service.ID == f.Service && t.alive && f.Count > 0 {
				t.fail()
				f.Count--
			}
		}
	case ReturnTarget:
		for _, t := range sim.targets {
			if t.zone == z && t.service.ID == f.Service && !t.alive && f.Count > 0 {
				t.restart()
				f.Count--
			}
		}
	case CutZone, HealZone:
		z.cut = f.Action == CutZone
	}
	sim.after(detectionDelay, func() { sim.updateViews() })
}

// updateViews updates the fabric and the views of all zones to the actual state
// of the fleet.
func (sim *simulation) updateViews() {
	sim.fabricVMs = sim.fabricVMs[:0]
	for _, v := range sim.vms {
		if v.alive {
			sim.fabricVMs = append(sim.fabricVMs, v)
		}
	}
	for _, z := range sim.zones {
		for i, other := range sim.zones {
			z.reachable[i] = z == other || !z.cut && !other.cut
		}
		z.liveVMs = z.liveVMs[:0]
		for _, v := range sim.vms {
			if v.zone == z && v.alive {
				z.liveVMs = append(z.liveVMs, v)
			}
		}
		z.targets = z.targets[:0]
		for _, t := range sim.targets {
			if t.zone == z && t.alive {
				z.targets = append(z.targets, t.fleetTarget)
			}
		}
	}
	for _, z := range sim.zones {
		// newSimulation published valid views of the whole fleet. Later views have
		// no other listeners or target addresses, so they are valid too.
		_ = sim.publishEpoch(z, maxViewDelay)
	}
}

// publishEpoch starts a new epoch and sends the view of this epoch to the VMs
// of a zone, each after a random delay below maxDelay. After sealDelay it sends
// the sealed view, unless a newer epoch has started. If maxDelay is 0, the
// first view is already sealed.
func (sim *simulation) publishEpoch(z *zone, maxDelay time.Duration) error {
	z.epoch++
	z.sealed = maxDelay == 0
	epoch := z.epoch
	for _, v := range sim.vms {
		if v.zone != z {
			continue
		}
		if err := sim.sendView(v, z.sealed, maxDelay); err != nil {
			return err
		}
	}
	if maxDelay == 0 {
		return nil
	}
	sim.after(sealDelay, func() {
		if z.epoch != epoch {
			return
		}
		z.sealed = true
		for _, v := range sim.vms {
			if v.zone == z {
				_ = sim.sendView(v, true, 0)
			}
		}
	})
	return nil
}

func (sim *simulation) sendView(v *vm, sealed bool, maxDelay time.Duration) error {
	view, err := sim.buildView(v, sealed)
	if err != nil {
		return err
	}
	v.viewCount++
	n := v.viewCount
	d := time.Duration(0)
	if maxDelay > 0 {
		d = time.Duration(sim.viewRand.Int64N(int64(maxDelay)))
	}
	if d == 0 {
		v.decider.SetView(view, sim.wallTime())
		return nil
	}
	sim.after(d, func() {
		if v.alive && v.viewCount == n {
			v.decider.SetView(view, sim.wallTime())
		}
	})
	return nil
}

func (sim *simulation) buildView(self *vm, sealed bool) (*fleet.View, error) {
	v := &fleet.View{Zone: self.zone.id, Self: self.id, Epoch: self.zone.epoch, Sealed: sealed, Revision: 1}
	for _, z := range sim.zones {
		viewZone := fleet.Zone{
			ID:        z.id,
			Weight:    z.spec.Weight,
			State:     fleet.ZoneIn,
			Reachable: self.zone.reachable[z.index],
			Spare:     z.spareSlots,
		}
		for _, service := range sim.workload.Fleet.Services {
			if service.Targets[z.id] > 0 {
				viewZone.Services = append(viewZone.Services, service.ID)
			}
		}
		for _, m := range z.liveVMs {
			viewZone.Members = append(viewZone.Members, memberOf(m))
		}
		v.Zones = append(v.Zones, viewZone)
		if z == self.zone {
			v.Members = append(v.Members, viewZone.Members...)
		}
	}
	v.Targets = append(v.Targets, self.zone.targets...)
	for _, k := range sim.kinds {
		v.Listeners = append(v.Listeners, k.listener)
	}
	if len(sim.kinds) == 0 {
		return v, nil
	}
	return v, v.Freeze()
}

func memberOf(v *vm) fleet.VM {
	return fleet.VM{ID: v.id}
}

// exchangeDigests sends the numbers of free slots of all zones to all VMs.
func (sim *simulation) exchangeDigests() {
	for _, z := range sim.zones {
		spareSlots := make(map[fleet.ServiceID]int)
		for _, t := range sim.targets {
			if t.zone == z && t.alive {
				spareSlots[t.service.ID] += max(0, t.service.Slots-t.busySlots)
			}
		}
		z.spareSlots = spareSlots
	}
	for _, v := range sim.vms {
		if v.alive && v.viewCount > 0 {
			_ = sim.sendView(v, v.zone.sealed, 0)
		}
	}
	sim.after(digestInterval, sim.exchangeDigests)
}
