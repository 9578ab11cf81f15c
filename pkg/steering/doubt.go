package steering

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// minOwnFault is the number of targets that may not answer a VM before it asks
// whether the fault is its own.
const minOwnFault = 3

// trustTime is how long a VM trusts its own flows more than the doubt of
// others, whose links may be the cause.
const trustTime = 500 * time.Millisecond

// load is what this VM knows of a target's load and health.
type load struct {
	running int
	// doubted is set while the target does not answer this VM.
	doubted bool
	// answered is the time of the newest opening packet that the target has
	// answered.
	answered time.Time
	// overdue is the time of the last request that was overdue there.
	overdue time.Time
}

func (c *Core) loadOf(k Cookie) *load {
	l := c.loads[k]
	if l == nil {
		l = new(load)
		c.loads[k] = l
	}
	return l
}

// answer notes that the target has opened a flow.
func (l *load) answer(sent time.Time) {
	if sent.After(l.answered) {
		l.answered = sent
	}
	l.doubted = false
}

// unanswered takes a repeated opening packet as a sign that the flow's target
// does not answer, unless it has answered a later one.
func (c *Core) unanswered(f *flow) {
	l := c.loadOf(f.target)
	if l.doubted || l.answered.After(f.sent) {
		return
	}
	l.doubted = true
	if t := c.view.targets[f.target]; t != nil && c.Observer != nil {
		c.Observer.TargetDoubted(t)
	}
}

// inDoubt reports whether a target does not answer this VM or several others.
func (c *Core) inDoubt(k Cookie, l *load, now time.Time) bool {
	switch {
	case l != nil && l.doubted:
		return true
	case !c.shared[k]:
		return false
	}
	return l == nil || now.Sub(l.answered) > trustTime
}

// Report takes the result of a health check of a target that was in doubt.
func (c *Core) Report(k Cookie, alive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadOf(k).doubted = !alive
}

// Doubt reports whether a target does not answer this VM and has not ended, and
// returns its service's health path.
func (c *Core) Doubt(k Cookie) (healthPath string, doubted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[k]
	if l == nil || !l.doubted || c.view == nil {
		return "", false
	}
	t := c.view.targets[k]
	if t == nil || t.State == fleet.TargetGone {
		return "", false
	}
	return c.view.healthPath(t.ID.Service), true
}

// Doubts returns the targets that do not answer this VM, for the other ones. It
// returns none where most targets do not: the fault is then more likely with
// this VM's links.
func (c *Core) Doubts() []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return nil
	}
	var ids []fleet.Incarnation
	for k, l := range c.loads {
		if t := c.view.targets[k]; l.doubted && t != nil && t.State != fleet.TargetGone {
			ids = append(ids, t.ID.Incarnation)
		}
	}
	if len(ids) > minOwnFault && 2*len(ids) > c.view.live {
		return nil
	}
	return ids
}

// SetShared takes the targets that do not answer several VMs, and those at which
// requests of several VMs were overdue.
func (c *Core) SetShared(doubts, overdue []fleet.Incarnation) {
	shared, sharedOverdue := cookies(doubts), cookies(overdue)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared, c.sharedOverdue = shared, sharedOverdue
}

func cookies(ids []fleet.Incarnation) map[Cookie]bool {
	set := make(map[Cookie]bool, len(ids))
	for _, id := range ids {
		set[CookieOf(id)] = true
	}
	return set
}
