package lease

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxDeltaSize bounds the encoded size of a Delta in bytes, so that a message
// with a Delta and two ballots stays below MaxDatagram.
const maxDeltaSize = 950

// targetStates lists the states of a target. A state is sent as its index in
// this list.
var targetStates = []fleet.TargetState{
	fleet.TargetAnnounced, fleet.TargetCold, fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone,
}

type (
	// View is one agreed view of a zone. It is immutable. Members and Targets
	// are ordered by id.
	View struct {
		Epoch   fleet.Epoch
		Members []fleet.Member
		Targets []fleet.Target
	}

	// Delta holds the changes from the view of epoch Base to that of Epoch.
	// Base is 0 for changes to the empty view, and in the chunks of a full
	// view, which are applied in order to the empty view.
	Delta struct {
		Base     fleet.Epoch       `cbor:"1,keyasint,omitempty"`
		Epoch    fleet.Epoch       `cbor:"2,keyasint"`
		Leave    []fleet.VMID      `cbor:"3,keyasint,omitempty"`
		Join     []fleet.Member    `cbor:"4,keyasint,omitempty"`
		Services []fleet.ServiceID `cbor:"5,keyasint,omitempty"`
		Set      []TargetEntry     `cbor:"6,keyasint,omitempty"`
		Drop     []fleet.TargetKey `cbor:"7,keyasint,omitempty"`
		// Voters are the council members that vote on a first view; see the
		// package comment.
		Voters []Voter `cbor:"8,keyasint,omitempty"`
	}

	// TargetEntry is a target on the wire; Service is an index into
	// Delta.Services.
	TargetEntry struct {
		_               struct{} `cbor:",toarray"`
		Service         uint8
		Address         netip.AddrPort
		Incarnation     fleet.Incarnation
		Slots           uint32
		ConnectionLimit uint32
		State           uint8
	}

	// Voter is one incarnation of a council member.
	Voter struct {
		_           struct{} `cbor:",toarray"`
		VM          fleet.VMID
		Incarnation fleet.Incarnation
	}
)

// Member returns the incarnation of a member, and whether the VM is a member.
func (v *View) Member(id fleet.VMID) (fleet.Incarnation, bool) {
	i, ok := findMember(v.Members, id)
	if !ok {
		return 0, false
	}
	return v.Members[i].Incarnation, true
}

func findMember(list []fleet.Member, id fleet.VMID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(m fleet.Member, id fleet.VMID) int {
		return strings.Compare(string(m.VM.ID), string(id))
	})
}

func compareTargets(a, b fleet.TargetID) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	if c := a.Address.Compare(b.Address); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func findTarget(list []fleet.Target, id fleet.TargetID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(t fleet.Target, id fleet.TargetID) int {
		return compareTargets(t.ID, id)
	})
}

// apply returns the view that results from applying a delta to v.
func (v *View) apply(d *Delta, zone fleet.ZoneID) *View {
	out := &View{Epoch: d.Epoch, Members: slices.Clone(v.Members), Targets: slices.Clone(v.Targets)}
	for _, id := range d.Leave {
		if i, ok := findMember(out.Members, id); ok {
			out.Members = slices.Delete(out.Members, i, i+1)
		}
	}
	for _, m := range d.Join {
		if i, ok := findMember(out.Members, m.VM.ID); ok {
			out.Members[i] = m
		} else {
			out.Members = slices.Insert(out.Members, i, m)
		}
	}
	if len(d.Drop) > 0 {
		out.Targets = slices.DeleteFunc(out.Targets, func(t fleet.Target) bool { return slices.Contains(d.Drop, t.ID.Key()) })
	}
	for i := range d.Set {
		t := d.Set[i].target(d.Services, zone)
		if i, ok := findTarget(out.Targets, t.ID); ok {
			out.Targets[i] = t
		} else {
			out.Targets = slices.Insert(out.Targets, i, t)
		}
	}
	return out
}

func (e *TargetEntry) target(services []fleet.ServiceID, zone fleet.ZoneID) fleet.Target {
	return fleet.Target{
		ID:    fleet.TargetID{Service: services[e.Service], Address: e.Address, Incarnation: e.Incarnation},
		Zone:  zone,
		Slots: int(e.Slots), ConnectionLimit: int(e.ConnectionLimit), State: targetStates[e.State],
	}
}

// deltaBuilder collects changes while they fit into one Delta. Its add methods
// report false for a change that does not fit.
type deltaBuilder struct {
	delta     Delta
	remaining int
}

func newDeltaBuilder(base, epoch fleet.Epoch) *deltaBuilder {
	return &deltaBuilder{delta: Delta{Base: base, Epoch: epoch}, remaining: maxDeltaSize - 40}
}

func (b *deltaBuilder) reserve(n int) bool {
	if b.remaining < n {
		return false
	}
	b.remaining -= n
	return true
}

func (b *deltaBuilder) addLeave(id fleet.VMID) bool {
	if !b.reserve(len(id) + 2) {
		return false
	}
	b.delta.Leave = append(b.delta.Leave, id)
	return true
}

func (b *deltaBuilder) addJoin(m fleet.Member) bool {
	if !b.reserve(encodedSize(m)) {
		return false
	}
	b.delta.Join = append(b.delta.Join, m)
	return true
}

func (b *deltaBuilder) addVoter(v Voter) bool {
	if !b.reserve(encodedSize(v)) {
		return false
	}
	b.delta.Voters = append(b.delta.Voters, v)
	return true
}

func (b *deltaBuilder) addDrop(key fleet.TargetKey) bool {
	if !b.reserve(9) {
		return false
	}
	b.delta.Drop = append(b.delta.Drop, key)
	return true
}

func (b *deltaBuilder) addTarget(t *fleet.Target) bool {
	e := TargetEntry{
		Address: t.ID.Address, Incarnation: t.ID.Incarnation,
		Slots: uint32(t.Slots), ConnectionLimit: uint32(t.ConnectionLimit),
		State: uint8(slices.Index(targetStates, t.State)),
	}
	size := encodedSize(e) + 1
	i := slices.Index(b.delta.Services, t.ID.Service)
	if i < 0 {
		i = len(b.delta.Services)
		size += len(t.ID.Service) + 3
	}
	if i >= maxServices || !b.reserve(size) {
		return false
	}
	if i == len(b.delta.Services) {
		b.delta.Services = append(b.delta.Services, t.ID.Service)
	}
	e.Service = uint8(i)
	b.delta.Set = append(b.delta.Set, e)
	return true
}

func (b *deltaBuilder) empty() bool {
	d := &b.delta
	return len(d.Leave)+len(d.Join)+len(d.Set)+len(d.Drop) == 0
}

func encodedSize(v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // these types always encode
	}
	return len(data)
}

// chunks splits a full view into deltas that each fit into one datagram.
func (v *View) chunks() []Delta {
	b := newDeltaBuilder(0, v.Epoch)
	var out []Delta
	add := func(put func() bool) {
		if !put() {
			out = append(out, b.delta)
			b = newDeltaBuilder(0, v.Epoch)
			put()
		}
	}
	for _, m := range v.Members {
		add(func() bool { return b.addJoin(m) })
	}
	for i := range v.Targets {
		add(func() bool { return b.addTarget(&v.Targets[i]) })
	}
	return append(out, b.delta)
}
