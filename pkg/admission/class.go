package admission

import (
	"cmp"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// callerBuckets is the number of caller hashes per kind. It bounds the state
// that a flood from many addresses can create.
const callerBuckets = 256

// mostNeed is the part of its deadline that a new request is taken to need at
// most.
const mostNeed = 0.75

// recentTime is the time in which the weight of an earlier start halves.
const recentTime = 500 * time.Millisecond

// mostPutOff is the part of its deadline by which a request may be put off in
// favour of other callers.
const mostPutOff = 0.125

type (
	// class is the state of one kind at one target.
	class struct {
		kind    fleet.Kind
		share   float64 // guaranteed, with all shares scaled to at most 1
		earns   float64 // share with the margin for passing delays
		retired bool

		queue    []waiting
		bytes    int
		earliest time.Time // no waiting request has an earlier deadline

		running int
		credit  float64 // slot seconds earned by the share and not yet used
		passed  float64 // slot seconds started, divided by the weight
		level   float64 // passed of the kind of equal urgency that started last
		service float64 // mean seconds in a slot
		normal  float64 // slow mean of the same
		samples int     // observations of normal
		gap     float64 // mean seconds between starts while requests waited

		backlogged bool // requests waited when the last one was started
		lastStart  time.Time

		turns [callerBuckets]float64 // virtual finish times of callers
		now   float64                // virtual time of the last start
		// recent counts starts, halved at each recentTime.
		recent [callerBuckets]float64

		pressure pressure
		stats    KindStats
	}

	waiting struct {
		request Request
		caller  uint8
	}
)

func newClass(k fleet.Kind) *class {
	return &class{
		kind:    k,
		service: k.Deadline.Seconds() * firstServiceShare,
		stats:   KindStats{Refused: make(map[Cause]uint64)},
	}
}

func compareClasses(a, b *class) int {
	if c := cmp.Compare(a.kind.Urgency, b.kind.Urgency); c != 0 {
		return c
	}
	return strings.Compare(string(a.kind.Name), string(b.kind.Name))
}

// goesBefore orders kinds: those with credit, then the more urgent, then by
// weighted slot time, then by name.
func goesBefore(a, b *class) bool {
	if (a.credit > 0) != (b.credit > 0) {
		return a.credit > 0
	}
	if a.kind.Urgency != b.kind.Urgency {
		return a.kind.Urgency < b.kind.Urgency
	}
	if a.passed != b.passed {
		return a.passed < b.passed
	}
	return a.kind.Name < b.kind.Name
}

// isLongFor reports whether a request of c would hold up one of the more
// urgent kind other for a large part of its deadline.
func (c *class) isLongFor(other *class) bool {
	return other.kind.Urgency < c.kind.Urgency && other.share > 0 &&
		c.service > longShare*other.kind.Deadline.Seconds()
}

// need is the time that a request must have left when it starts. It stays
// below the deadline however slow the target was, since a kind of which nothing
// starts would never be seen to be fast again.
func (c *class) need() time.Duration {
	return seconds(min(c.service, mostNeed*c.kind.Deadline.Seconds()))
}

// cannotEnd reports whether r would miss its deadline if it started now.
func (c *class) cannotEnd(r *Request, now time.Time) bool {
	return now.Add(c.need()).After(r.Deadline)
}

func (c *class) find(flow fleet.FlowKey) int {
	for i := range c.queue {
		if c.queue[i].request.Flow == flow {
			return i
		}
	}
	return -1
}

func (c *class) push(r *Request) {
	if len(c.queue) == 0 || r.Deadline.Before(c.earliest) {
		c.earliest = r.Deadline
	}
	c.queue = append(c.queue, waiting{request: *r, caller: callerBucket(r.Flow)})
	c.bytes += r.Bytes
}

// remove keeps the order of arrival.
func (c *class) remove(i int) Request {
	r := c.queue[i].request
	c.queue = append(c.queue[:i], c.queue[i+1:]...)
	c.bytes -= r.Bytes
	return r
}

func (c *class) clear() {
	clear(c.queue)
	c.queue = c.queue[:0]
	c.bytes = 0
}

// pop removes the request that goes next; the queue is not empty.
func (c *class) pop(now time.Time) Request {
	best := 0
	key := c.order(&c.queue[0])
	for i := 1; i < len(c.queue); i++ {
		if k := c.order(&c.queue[i]); k.Before(key) {
			best, key = i, k
		}
	}
	r := c.remove(best)
	if c.backlogged {
		c.gap += serviceGain * (now.Sub(c.lastStart).Seconds() - c.gap)
	}
	c.lastStart = now
	c.backlogged = len(c.queue) > 0
	return r
}

// order is the deadline of a waiting request, put off by the service times
// that its caller is ahead of others. The bound keeps the requests of a busy
// hash bucket from being overtaken until they expire.
func (c *class) order(w *waiting) time.Time {
	ahead := max(0, c.turns[w.caller]-c.now) * c.service
	return w.request.Deadline.Add(seconds(min(ahead, mostPutOff*c.kind.Deadline.Seconds())))
}

// turn charges a caller for one start.
func (c *class) turn(caller uint8) {
	c.now = max(c.turns[caller], c.now)
	c.turns[caller] = c.now + 1
	c.recent[caller]++
}

// heaviest returns the index of the latest request of the caller that should
// give way to the given one, or -1 where none should. A caller gives way that
// has at least two requests more in the queue, or that with its recent starts
// has had more than twice as much; the latter lets a burst of a caller with
// little work in, but not the usual variation between many callers.
func (c *class) heaviest(caller uint8) int {
	var counts [callerBuckets]float64
	for i := range c.queue {
		counts[c.queue[i].caller]++
	}
	best, most := -1, 0.0
	for i := range c.queue {
		b := c.queue[i].caller
		if had := counts[b] + c.recent[b]; had >= most {
			best, most = i, had
		}
	}
	if best < 0 {
		return -1
	}
	waits := counts[caller]
	had := waits + c.recent[caller]
	if most > had && counts[c.queue[best].caller] > waits+1 || most > 2*had+4 {
		return best
	}
	return -1
}

// age halves the counts of recent starts.
func (c *class) age() {
	for i := range c.recent {
		c.recent[i] /= 2
	}
}

// expire removes the requests that can no longer end by their deadline.
func (c *class) expire(now time.Time, out []Request) []Request {
	if len(c.queue) == 0 || !now.Add(c.need()).After(c.earliest) {
		return out
	}
	kept := c.queue[:0]
	c.bytes = 0
	for i := range c.queue {
		w := c.queue[i]
		if c.cannotEnd(&w.request, now) {
			out = append(out, w.request)
			c.stats.Expired++
			continue
		}
		if len(kept) == 0 || w.request.Deadline.Before(c.earliest) {
			c.earliest = w.request.Deadline
		}
		kept = append(kept, w)
		c.bytes += w.request.Bytes
	}
	c.queue = kept
	return out
}

// callerBucket returns the caller's position in class.turns.
func callerBucket(flow fleet.FlowKey) uint8 { return uint8(addrHash(flow.Caller.Addr())) }

// addrHash hashes an address, for IPv6 its /64 prefix, since a caller has a
// whole prefix to choose addresses from.
func addrHash(addr netip.Addr) uint64 {
	addr = addr.Unmap()
	var buf [8]byte
	if addr.Is4() {
		v4 := addr.As4()
		copy(buf[:], v4[:])
	} else {
		v6 := addr.As16()
		copy(buf[:], v6[:8])
	}
	return xxhash.Sum64(buf[:])
}
