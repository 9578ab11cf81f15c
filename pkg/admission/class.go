package admission

import (
	"cmp"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// callerBuckets is the number of hash buckets for the callers of a kind. The
// number is fixed, to bound the state that a flood from many addresses creates.
const callerBuckets = 256

// maxRequiredShare caps the time that a request must have left when it starts,
// as a fraction of the deadline of its kind. See class.requiredTime.
const maxRequiredShare = 0.75

// recentHalfLife is the interval at which the counts of recent starts are
// halved.
const recentHalfLife = 500 * time.Millisecond

// maxFairnessDelayShare bounds how far the effective deadline of a queued
// request may lie after its deadline, as a fraction of the deadline of its
// kind.
const maxFairnessDelayShare = 0.125

type (
	// class holds the queue, the credit and the statistics of one kind of work
	// at one target.
	class struct {
		kind       fleet.Kind
		share      float64 // guaranteed fraction of the slots; all shares sum to at most 1
		creditRate float64 // share times a factor from 1 to creditMargin
		retired    bool

		queue            []queuedRequest
		bytes            int
		earliestDeadline time.Time // no queued request has an earlier deadline

		running     int
		credit      float64 // slot seconds earned and not yet used
		virtualTime float64 // expected slot seconds of all starts, divided by the weight
		// groupVirtualTime is set when any class of equal urgency, including this
		// one, starts a request. It is the virtual time that the starting class had
		// before that start.
		groupVirtualTime float64
		serviceTime      float64 // moving average of the seconds in a slot
		baselineTime     float64 // like serviceTime, but only of completed requests, with a lower gain
		samples          int     // number of requests averaged in baselineTime
		startInterval    float64 // moving average of the seconds between starts while requests were queued

		backlogged bool // requests were still queued after the last start from the queue
		lastStart  time.Time

		// callerFinish is the virtual finish time of the last start of each
		// caller, as in start-time fair queueing. Each start takes one unit of
		// virtual time.
		callerFinish      [callerBuckets]float64
		callerVirtualTime float64 // virtual start time of the last start of any caller
		// recentStarts counts the starts of callers, halved every
		// recentHalfLife.
		recentStarts [callerBuckets]float64

		pressure pressure
		stats    KindStats
	}

	queuedRequest struct {
		request Request
		caller  uint8
	}
)

func newClass(k fleet.Kind) *class {
	return &class{
		kind:        k,
		serviceTime: k.Deadline.Seconds() * initialServiceShare,
		stats:       KindStats{Refused: make(map[Cause]uint64)},
	}
}

func compareClasses(a, b *class) int {
	if c := cmp.Compare(a.kind.Urgency, b.kind.Urgency); c != 0 {
		return c
	}
	return strings.Compare(string(a.kind.Name), string(b.kind.Name))
}

// precedes reports whether a is scheduled before b: kinds with credit come
// first, then the more urgent, then those with less virtual time.
func precedes(a, b *class) bool {
	if (a.credit > 0) != (b.credit > 0) {
		return a.credit > 0
	}
	if a.kind.Urgency != b.kind.Urgency {
		return a.kind.Urgency < b.kind.Urgency
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.kind.Name < b.kind.Name
}

// isLongFor reports whether other is more urgent than c and has a share, and the
// service time of c exceeds longRequestShare of the deadline of other.
func (c *class) isLongFor(other *class) bool {
	return other.kind.Urgency < c.kind.Urgency && other.share > 0 &&
		c.serviceTime > longRequestShare*other.kind.Deadline.Seconds()
}

// requiredTime is the time that a request must have left until its deadline
// when it starts. It is always shorter than the deadline of the kind. Otherwise,
// after the target was slow, no request of the kind would start, and a shorter
// service time could not be measured.
func (c *class) requiredTime() time.Duration {
	return seconds(min(c.serviceTime, maxRequiredShare*c.kind.Deadline.Seconds()))
}

// wouldMissDeadline reports whether r is expected to miss its deadline if it
// starts now.
func (c *class) wouldMissDeadline(r *Request, now time.Time) bool {
	return now.Add(c.requiredTime()).After(r.Deadline)
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
	if len(c.queue) == 0 || r.Deadline.Before(c.earliestDeadline) {
		c.earliestDeadline = r.Deadline
	}
	c.queue = append(c.queue, queuedRequest{request: *r, caller: callerBucket(r.Flow)})
	c.bytes += r.Bytes
}

// remove deletes the request at index i and keeps the others in order of
// arrival.
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

// pop removes and returns the request with the earliest effective deadline. The
// queue must not be empty.
func (c *class) pop(now time.Time) Request {
	best := 0
	key := c.effectiveDeadline(&c.queue[0])
	for i := 1; i < len(c.queue); i++ {
		if k := c.effectiveDeadline(&c.queue[i]); k.Before(key) {
			best, key = i, k
		}
	}
	r := c.remove(best)
	if c.backlogged {
		c.startInterval += serviceGain * (now.Sub(c.lastStart).Seconds() - c.startInterval)
	}
	c.lastStart = now
	c.backlogged = len(c.queue) > 0
	return r
}

// effectiveDeadline is the deadline of a queued request, extended by one mean
// service time for each start that its caller is ahead of the others. The
// extension is bounded. Without the bound, requests of callers in a busy hash
// bucket would be overtaken by other requests until they expire.
func (c *class) effectiveDeadline(q *queuedRequest) time.Time {
	ahead := max(0, c.callerFinish[q.caller]-c.callerVirtualTime) * c.serviceTime
	return q.request.Deadline.Add(seconds(min(ahead, maxFairnessDelayShare*c.kind.Deadline.Seconds())))
}

// chargeCaller counts one start of a caller.
func (c *class) chargeCaller(caller uint8) {
	c.callerVirtualTime = max(c.callerFinish[caller], c.callerVirtualTime)
	c.callerFinish[caller] = c.callerVirtualTime + 1
	c.recentStarts[caller]++
}

// evictionIndex returns the index of the newest queued request of the heaviest
// caller, or -1 if the queue is empty or no request should be evicted for the
// given caller. The usage of a caller is the number of its queued requests and
// recent starts. The heaviest caller is the caller with the highest usage among
// those with queued requests. A request is evicted in two cases: if the
// heaviest caller has a higher usage than the given caller and at least two
// more queued requests, or if the usage of the heaviest caller exceeds 2u+4,
// where u is the usage of the given caller. The second case admits a burst of a
// caller with little load, but the usual variation between many callers evicts
// nothing.
func (c *class) evictionIndex(caller uint8) int {
	var counts [callerBuckets]float64
	for i := range c.queue {
		counts[c.queue[i].caller]++
	}
	best, highest := -1, 0.0
	for i := range c.queue {
		b := c.queue[i].caller
		if usage := counts[b] + c.recentStarts[b]; usage >= highest {
			best, highest = i, usage
		}
	}
	if best < 0 {
		return -1
	}
	queued := counts[caller]
	usage := queued + c.recentStarts[caller]
	if highest > usage && counts[c.queue[best].caller] > queued+1 || highest > 2*usage+4 {
		return best
	}
	return -1
}

// decayRecentStarts halves the counts of recent starts.
func (c *class) decayRecentStarts() {
	for i := range c.recentStarts {
		c.recentStarts[i] /= 2
	}
}

// expire removes the queued requests that are expected to miss their deadline
// and appends them to out.
func (c *class) expire(now time.Time, out []Request) []Request {
	if len(c.queue) == 0 || !now.Add(c.requiredTime()).After(c.earliestDeadline) {
		return out
	}
	kept := c.queue[:0]
	c.bytes = 0
	for i := range c.queue {
		q := c.queue[i]
		if c.wouldMissDeadline(&q.request, now) {
			out = append(out, q.request)
			c.stats.Expired++
			continue
		}
		if len(kept) == 0 || q.request.Deadline.Before(c.earliestDeadline) {
			c.earliestDeadline = q.request.Deadline
		}
		kept = append(kept, q)
		c.bytes += q.request.Bytes
	}
	c.queue = kept
	return out
}

// callerBucket returns the index of the caller in class.callerFinish and
// class.recentStarts.
func callerBucket(flow fleet.FlowKey) uint8 { return uint8(addrHash(flow.Caller.Addr())) }

// addrHash hashes an IPv4 address or the /64 prefix of an IPv6 address, since
// an IPv6 caller can choose any address of its prefix.
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
