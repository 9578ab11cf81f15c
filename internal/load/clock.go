package load

import "time"

type (
	// event is a function to run at a virtual time. Events of the same time run
	// in the order in which they were scheduled.
	event struct {
		at  time.Duration
		seq uint64
		run func()
	}

	// delayQueue holds the events that were scheduled with one constant delay.
	// They are in the order of their times without sorting. Most events have
	// such a delay. If all events were in one heap, heap operations would take
	// a large part of the time of a run.
	delayQueue struct {
		delay  time.Duration
		events []event
		head   int
	}

	// clock is the virtual time with the pending events.
	clock struct {
		now         time.Duration
		seq         uint64
		heap        []event
		delayQueues []delayQueue
	}
)

// startTime is the wall time of virtual time 0.
var startTime = time.Unix(1_700_000_000, 0).UTC()

func (c *clock) wallTime() time.Time { return startTime.Add(c.now) }

// addDelayQueue adds a queue for a delay that is used often.
func (c *clock) addDelayQueue(d time.Duration) {
	for i := range c.delayQueues {
		if c.delayQueues[i].delay == d {
			return
		}
	}
	c.delayQueues = append(c.delayQueues, delayQueue{delay: d})
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	e := event{at: c.now + d, seq: c.seq, run: run}
	for i := range c.delayQueues {
		if c.delayQueues[i].delay == d {
			c.delayQueues[i].events = append(c.delayQueues[i].events, e)
			return
		}
	}
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !c.heap[i].before(&c.heap[parent]) {
			break
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

// step runs the next event. It reports false if no event is due by end.
func (c *clock) step(end time.Duration) bool {
	var first *event
	if len(c.heap) > 0 {
		first = &c.heap[0]
	}
	queueIndex := -1
	for i := range c.delayQueues {
		q := &c.delayQueues[i]
		if q.head < len(q.events) && (first == nil || q.events[q.head].before(first)) {
			first, queueIndex = &q.events[q.head], i
		}
	}
	if first == nil || first.at > end {
		return false
	}
	e := *first
	if queueIndex >= 0 {
		c.delayQueues[queueIndex].removeFirst()
	} else {
		c.pop()
	}
	c.now = e.at
	e.run()
	return true
}

// removeFirst removes the first event, and compacts the slice once at least half
// of it is free.
func (q *delayQueue) removeFirst() {
	q.events[q.head] = event{}
	q.head++
	if q.head*2 < len(q.events) {
		return
	}
	n := copy(q.events, q.events[q.head:])
	clear(q.events[n:])
	q.events = q.events[:n]
	q.head = 0
}

func (c *clock) pop() {
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.heap); child++ {
			if c.heap[child].before(&c.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}
