package timeline

import (
	"maps"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// DefaultCapacity is the default maximum number of events that a ring keeps.
const DefaultCapacity = 8192

// Ring keeps at most Capacity events of one process. When the ring is full, it
// evicts the oldest event of the kind with the most events, so that many events
// of one kind do not evict the rare events of other kinds. The exported fields
// must be set before the first Record. A Ring is safe for concurrent use.
type Ring struct {
	Process  fleet.VMID
	Capacity int
	Clock    *Clock

	mu       sync.Mutex
	sequence uint64
	size     int
	events   map[Kind]*queue
	evicted  map[Kind]uint64
	changed  chan struct{}
}

// queue is a first-in, first-out list of events of one kind. The elements of
// events before head have been removed.
type queue struct {
	events []Event
	head   int
}

// Page is a part of the events of a ring, sorted by sequence.
type Page struct {
	Process fleet.VMID      `json:"Process"`
	Events  []Event         `json:"Events"`
	Shed    map[Kind]uint64 `json:"Shed"`
	// Next is the value of the parameter After for the next page. After a
	// restart of the process, the sequence numbers start again at 1. Therefore
	// Next can be below the After of this request.
	Next uint64 `json:"Next"`
}

var _ Recorder = (*Ring)(nil)

// NewRing returns a Ring with the default capacity and a new clock.
func NewRing(process fleet.VMID) *Ring {
	return &Ring{Process: process, Capacity: DefaultCapacity, Clock: new(Clock)}
}

// Record sets the stamp, process and sequence number of an event and adds the
// event to the ring. If the ring is full, Record evicts an older event.
func (r *Ring) Record(e Event, now time.Time) {
	e.Stamp = r.Clock.Now(now)
	e.Process = r.Process
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events == nil {
		r.events = make(map[Kind]*queue)
		r.evicted = make(map[Kind]uint64)
	}
	r.sequence++
	e.Sequence = r.sequence
	if r.size >= r.Capacity {
		r.evictOne()
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

func (r *Ring) evictOne() {
	var largest Kind
	largestSize := 0
	for kind, q := range r.events {
		n := len(q.events) - q.head
		if n > largestSize || n == largestSize && kind < largest {
			largest, largestSize = kind, n
		}
	}
	if largestSize == 0 {
		return
	}
	r.events[largest].pop()
	r.evicted[largest]++
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

// Since returns a page with the first events that match the filter and have a
// sequence number above after. The page has at most limit events.
func (r *Ring) Since(after uint64, f Filter, limit int) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Process: r.Process, Shed: maps.Clone(r.evicted)}
	for _, q := range r.events {
		for _, e := range q.events[q.head:] {
			if e.Sequence > after {
				p.Events = append(p.Events, e)
			}
		}
	}
	sortBySequence(p.Events)
	p.Events, p.Next = f.selectPage(p.Events, limit, r.sequence)
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
