package timeline

import (
	"maps"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// DefaultCapacity is the number of events that a ring keeps.
const DefaultCapacity = 8192

// Ring keeps the latest events of one process within Capacity. When it is
// full it sheds the oldest event of the kind that holds the most, so that a
// storm of one kind does not push out the rare events of others. Exported
// fields are set before the first Record.
type Ring struct {
	Process  fleet.VMID
	Capacity int
	Clock    *Clock

	mu       sync.Mutex
	sequence uint64
	size     int
	events   map[Kind]*queue
	shed     map[Kind]uint64
	changed  chan struct{}
}

// queue is a first-in, first-out list of events of one kind.
type queue struct {
	events []Event
	head   int
}

// Page is a part of a ring's content, ordered by sequence.
type Page struct {
	Process fleet.VMID      `json:"Process"`
	Events  []Event         `json:"Events"`
	Shed    map[Kind]uint64 `json:"Shed"`
	// Next is the value of After that continues behind this page; it is below
	// the present After where the process restarted and counts anew.
	Next uint64 `json:"Next"`
}

var _ Recorder = (*Ring)(nil)

// NewRing returns a ring of the default capacity with a clock of its own.
func NewRing(process fleet.VMID) *Ring {
	return &Ring{Process: process, Capacity: DefaultCapacity, Clock: new(Clock)}
}

// Record stamps an event and keeps it, shedding another where the ring is
// full.
func (r *Ring) Record(e Event, now time.Time) {
	e.Stamp = r.Clock.Now(now)
	e.Process = r.Process
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events == nil {
		r.events = make(map[Kind]*queue)
		r.shed = make(map[Kind]uint64)
	}
	r.sequence++
	e.Sequence = r.sequence
	if r.size >= r.Capacity {
		r.shedOne()
	}
	q := r.events[e.Kind]
	if q == nil {
		q = new(queue)
		r.events[e.Kind] = q
	}
	q.events = append(q.events, e)
	r.size++
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func (r *Ring) shedOne() {
	var largest Kind
	most := 0
	for kind, q := range r.events {
		n := len(q.events) - q.head
		if n > most || n == most && kind < largest {
			largest, most = kind, n
		}
	}
	if most == 0 {
		return
	}
	r.events[largest].pop()
	r.shed[largest]++
	r.size--
}

func (q *queue) pop() {
	q.events[q.head] = Event{}
	q.head++
	if q.head*2 < len(q.events) {
		return
	}
	n := copy(q.events, q.events[q.head:])
	clear(q.events[n:])
	q.events = q.events[:n]
	q.head = 0
}

// Since returns the events with a sequence above after that pass the filter,
// at most limit of them.
func (r *Ring) Since(after uint64, f Filter, limit int) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Process: r.Process, Shed: maps.Clone(r.shed)}
	for _, q := range r.events {
		for _, e := range q.events[q.head:] {
			if e.Sequence > after {
				p.Events = append(p.Events, e)
			}
		}
	}
	sortBySequence(p.Events)
	p.Events, p.Next = f.apply(p.Events, limit, r.sequence)
	return p
}

// Changed returns a channel that is closed at the next Record.
func (r *Ring) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}
