package load

import "time"

type (
	// event is an action at a time; events of equal time keep their order.
	event struct {
		at  time.Duration
		seq uint64
		do  func()
	}

	// lane holds the events of one constant delay, which are in order by
	// themselves. Most events are of this sort, and a heap of all of them
	// takes a large part of the time of a run.
	lane struct {
		delay  time.Duration
		events []event
		head   int
	}

	// clock is virtual time with the events to come.
	clock struct {
		now   time.Duration
		seq   uint64
		heap  []event
		lanes []lane
	}
)

// epoch is the wall time of virtual time 0.
var epoch = time.Unix(1_700_000_000, 0).UTC()

func (c *clock) wall() time.Time { return epoch.Add(c.now) }

// addLane declares a delay that is used often.
func (c *clock) addLane(d time.Duration) {
	for i := range c.lanes {
		if c.lanes[i].delay == d {
			return
		}
	}
	c.lanes = append(c.lanes, lane{delay: d})
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	e := event{at: c.now + d, seq: c.seq, do: do}
	for i := range c.lanes {
		if c.lanes[i].delay == d {
			c.lanes[i].events = append(c.lanes[i].events, e)
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

// step runs the next event and reports false where none is left by the end.
func (c *clock) step(end time.Duration) bool {
	var first *event
	if len(c.heap) > 0 {
		first = &c.heap[0]
	}
	from := -1
	for i := range c.lanes {
		l := &c.lanes[i]
		if l.head < len(l.events) && (first == nil || l.events[l.head].before(first)) {
			first, from = &l.events[l.head], i
		}
	}
	if first == nil || first.at > end {
		return false
	}
	e := *first
	if from >= 0 {
		c.lanes[from].drop()
	} else {
		c.pop()
	}
	c.now = e.at
	e.do()
	return true
}

// drop removes the first event and reuses the space once half of it is free.
func (l *lane) drop() {
	l.events[l.head] = event{}
	l.head++
	if l.head*2 < len(l.events) {
		return
	}
	n := copy(l.events, l.events[l.head:])
	clear(l.events[n:])
	l.events = l.events[:n]
	l.head = 0
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
