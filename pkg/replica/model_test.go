package replica

import (
	"encoding/binary"
	"fmt"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const (
	modelVMs = 7
	modelLog = 8
)

// Kinds of entries and roles of members in the model.
const (
	modelNone = iota
	modelNoop
	modelData
	modelConfig
)

const (
	modelAbsent = iota
	modelLearner
	modelVoter
)

type (
	// modelMember is a member of a config: its role and the incarnation of its VM.
	modelMember struct{ role, inc uint8 }

	modelMembers [modelVMs]modelMember

	modelEntry struct {
		term, kind, data uint8
		config           modelMembers
	}

	// modelReplica is a VM with its disk. A leader remembers what it has committed.
	modelReplica struct {
		inc, term, n, commit uint8
		leads                bool
		log                  [modelLog]modelEntry
	}

	// modelState is a state of the whole system. Elections, and the delivery of one
	// entry with its acknowledgement, are single steps; a message that is lost or
	// late is a step that does not happen.
	modelState struct {
		vms [modelVMs]modelReplica
		// next is the number of the next data entry, acked the set of those that
		// were acknowledged, and wipes the number of disks lost so far.
		next, acked, wipes uint8
	}

	// modelBounds bounds what is explored, and says which rules are left out.
	modelBounds struct {
		replicas, spares, losses int
		// learners makes the spares learners from the start.
		learners                    bool
		terms, data, configs, wipes uint8
		// keepIncarnation lets a VM that lost its disk go on under its incarnation,
		// and eagerChange lets a leader change the config before an entry of its
		// own term is committed.
		keepIncarnation, eagerChange bool
	}

	// changeModel explores all states within its bounds.
	changeModel struct {
		modelBounds
		seen  map[[2]uint64]struct{}
		stack []modelState
		fault string
	}
)

func newModel(b modelBounds) *changeModel {
	m := &changeModel{modelBounds: b, seen: make(map[[2]uint64]struct{})}
	var s modelState
	var first modelMembers
	for i := range b.replicas {
		first[i] = modelMember{modelVoter, 0}
	}
	members := b.replicas
	if b.learners {
		members += b.spares
		for i := b.replicas; i < members; i++ {
			first[i] = modelMember{modelLearner, 0}
		}
	}
	for i := range members {
		s.vms[i].n = 1
		s.vms[i].commit = 1
		s.vms[i].log[0] = modelEntry{kind: modelConfig, config: first}
	}
	m.visit(&s)
	return m
}

// explore visits states until all are seen, a fault is found, or their number
// reaches a limit; it returns whether all were seen.
func (m *changeModel) explore(limit int) bool {
	for len(m.stack) > 0 && m.fault == "" && len(m.seen) < limit {
		s := m.stack[len(m.stack)-1]
		m.stack = m.stack[:len(m.stack)-1]
		m.check(&s)
		m.steps(&s)
	}
	return len(m.stack) == 0
}

func (m *changeModel) visit(s *modelState) {
	buf := make([]byte, 0, 2048)
	for i := range m.replicas + m.spares {
		v := &s.vms[i]
		lead := byte(0)
		if v.leads {
			lead = 1
		}
		buf = append(buf, v.inc, v.term, v.n, v.commit, lead)
		for j := range v.n {
			e := &v.log[j]
			buf = append(buf, e.term, e.kind, e.data)
			if e.kind == modelConfig {
				for _, x := range e.config {
					buf = append(buf, x.role<<4|x.inc)
				}
			}
		}
	}
	buf = append(buf, s.next, s.acked, s.wipes)
	var key [2]uint64
	key[0] = xxhash.Sum64(buf)
	key[1] = xxhash.Sum64(binary.BigEndian.AppendUint64(buf, key[0]))
	if _, ok := m.seen[key]; ok {
		return
	}
	m.seen[key] = struct{}{}
	m.stack = append(m.stack, *s)
}

// config returns the newest config of a log, and its position from 1.
func (v *modelReplica) config() (*modelMembers, uint8) {
	for i := v.n; i > 0; i-- {
		if v.log[i-1].kind == modelConfig {
			return &v.log[i-1].config, i
		}
	}
	return nil, 0
}

func (v *modelReplica) holds(data uint8, upTo uint8) bool {
	for i := range upTo {
		if v.log[i].kind == modelData && v.log[i].data == data {
			return true
		}
	}
	return false
}

func (v *modelReplica) lastTerm() uint8 {
	if v.n == 0 {
		return 0
	}
	return v.log[v.n-1].term
}

// noop returns the position of the first entry of the leader's term.
func (v *modelReplica) noop() uint8 {
	for i := range v.n {
		if v.log[i].term == v.term && v.log[i].kind == modelNoop {
			return i + 1
		}
	}
	return modelLog + 1
}

// voters lists the VMs that are voters, and quorum is the number that decides.
func (c *modelMembers) voters() (ids []int, quorum int) {
	for i, x := range c {
		if x.role == modelVoter {
			ids = append(ids, i)
		}
	}
	return ids, len(ids)/2 + 1
}

// check looks for reads that miss an acknowledged entry: those of a leader whom a
// quorum still follows.
func (m *changeModel) check(s *modelState) {
	for i := range s.vms {
		l := &s.vms[i]
		if !l.leads || l.commit < l.noop() {
			continue
		}
		c, _ := l.config()
		ids, quorum := c.voters()
		follow := 0
		for _, j := range ids {
			if c[j].inc == s.vms[j].inc && s.vms[j].term <= l.term {
				follow++
			}
		}
		for d := range s.next {
			if follow >= quorum && s.acked&(1<<d) != 0 && !l.holds(d, l.commit) {
				m.fault = fmt.Sprintf("leader %d of term %d reads without acknowledged entry %d", i, l.term, d)
			}
		}
	}
}

func (m *changeModel) steps(s *modelState) {
	for i := range m.replicas + m.spares {
		// Elections that nobody wins raise the term of their candidate.
		for term := s.vms[i].term + 1; term <= m.terms; term++ {
			m.elect(s, i, term)
		}
		m.wipe(s, i)
		if s.vms[i].leads {
			m.append(s, i)
			m.change(s, i)
			for j := range m.replicas + m.spares {
				m.replicate(s, i, j)
			}
		}
	}
}

// elect makes a voter leader by each least quorum that may vote for it.
func (m *changeModel) elect(s *modelState, i int, term uint8) {
	c, _ := s.vms[i].config()
	if c == nil || c[i] != (modelMember{modelVoter, s.vms[i].inc}) || s.vms[i].n >= modelLog {
		return
	}
	ids, quorum := c.voters()
	var may []int
	for _, j := range ids {
		v := &s.vms[j]
		upToDate := s.vms[i].lastTerm() > v.lastTerm() || s.vms[i].lastTerm() == v.lastTerm() && s.vms[i].n >= v.n
		if j != i && c[j].inc == v.inc && v.term < term && upToDate {
			may = append(may, j)
		}
	}
	m.choose(may, quorum-1, nil, func(votes []int) {
		n := *s
		for _, j := range votes {
			n.vms[j].term, n.vms[j].leads = term, false
		}
		l := &n.vms[i]
		l.term, l.leads = term, true
		l.log[l.n] = modelEntry{term: term, kind: modelNoop}
		l.n++
		for d := range s.next {
			if s.acked&(1<<d) != 0 && !l.holds(d, l.n) {
				m.fault = fmt.Sprintf("leader %d of term %d lacks acknowledged entry %d", i, term, d)
			}
		}
		m.commit(&n, i)
		m.visit(&n)
	})
}

// choose calls do with each choice of k of the ids.
func (m *changeModel) choose(ids []int, k int, chosen []int, do func([]int)) {
	switch {
	case k == 0:
		do(chosen)
	case len(ids) >= k:
		m.choose(ids[1:], k-1, append(chosen[:len(chosen):len(chosen)], ids[0]), do)
		m.choose(ids[1:], k, chosen, do)
	}
}

// wipe takes the disk of a VM, as long as no more are lost at once than the
// deployment allows. A loss counts until the VM votes again or is removed.
func (m *changeModel) wipe(s *modelState, i int) {
	if s.wipes >= m.wipes || s.vms[i].n == 0 {
		return
	}
	lost := 0
	for j := range m.replicas + m.spares {
		for k := range m.replicas + m.spares {
			c, _ := s.vms[k].config()
			if c != nil && c[j].role == modelVoter && (c[j].inc != s.vms[j].inc || m.keepIncarnation && s.vms[j].n == 0) {
				lost++
				break
			}
		}
	}
	if lost >= m.losses {
		return
	}
	n := *s
	inc := s.vms[i].inc
	if !m.keepIncarnation {
		inc++
	}
	n.vms[i] = modelReplica{inc: inc}
	n.wipes++
	m.visit(&n)
}

func (m *changeModel) append(s *modelState, i int) {
	if s.next >= m.data || s.vms[i].n >= modelLog {
		return
	}
	n := *s
	l := &n.vms[i]
	l.log[l.n] = modelEntry{term: l.term, kind: modelData, data: n.next}
	l.n++
	n.next++
	m.commit(&n, i)
	m.visit(&n)
}

// replicate delivers the next entry that a member lacks.
func (m *changeModel) replicate(s *modelState, i, j int) {
	c, _ := s.vms[i].config()
	if i == j || c[j].role == modelAbsent || c[j].inc != s.vms[j].inc || s.vms[j].term > s.vms[i].term {
		return
	}
	n := *s
	l, f := &n.vms[i], &n.vms[j]
	f.term, f.leads = l.term, false
	at := uint8(0)
	for at < l.n && at < f.n && l.log[at] == f.log[at] {
		at++
	}
	if at < l.n {
		f.log[at] = l.log[at]
		for k := at + 1; k < f.n; k++ {
			f.log[k] = modelEntry{}
		}
		f.n = at + 1
	}
	m.commit(&n, i)
	m.visit(&n)
}

// commit raises the commit of a leader, and acknowledges what it covers.
func (m *changeModel) commit(s *modelState, i int) {
	l := &s.vms[i]
	c, _ := l.config()
	ids, quorum := c.voters()
	for at := l.n; at > l.commit; at-- {
		if l.log[at-1].term != l.term {
			break
		}
		n := 0
		for _, j := range ids {
			f := &s.vms[j]
			if j == i || c[j].inc == f.inc && f.term == l.term && f.n >= at && f.log[at-1] == l.log[at-1] {
				n++
			}
		}
		if n >= quorum {
			l.commit = at
			break
		}
	}
	for at := range l.commit {
		if l.log[at].kind == modelData {
			s.acked |= 1 << l.log[at].data
		}
	}
}

// change proposes each config that the rules allow.
func (m *changeModel) change(s *modelState, i int) {
	l := &s.vms[i]
	c, at := l.config()
	if at > l.commit || l.n >= modelLog || !m.eagerChange && l.commit < l.noop() {
		return
	}
	changes := uint8(0)
	for k := range l.n {
		if l.log[k].kind == modelConfig {
			changes++
		}
	}
	if changes > m.configs {
		return
	}
	caughtUp := func(j int) bool {
		f := &s.vms[j]
		return c[j].role == modelLearner && c[j].inc == f.inc && f.n >= l.commit && f.term == l.term
	}
	spare := false
	for j := range c {
		spare = spare || caughtUp(j)
	}
	ids, _ := c.voters()
	for j := range m.replicas + m.spares {
		next := *c
		switch {
		case j == i:
			continue
		case c[j].role == modelAbsent || c[j].inc < s.vms[j].inc:
			next[j] = modelMember{modelLearner, s.vms[j].inc}
			m.propose(s, i, next)
		case caughtUp(j):
			next[j].role = modelVoter
			m.propose(s, i, next)
		}
		if c[j].role == modelVoter && (spare || len(ids)%2 == 0 && len(ids) != 2) {
			next = *c
			next[j] = modelMember{}
			m.propose(s, i, next)
		}
	}
}

func (m *changeModel) propose(s *modelState, i int, c modelMembers) {
	n := *s
	l := &n.vms[i]
	l.log[l.n] = modelEntry{term: l.term, kind: modelConfig, config: c}
	l.n++
	m.commit(&n, i)
	m.visit(&n)
}

// Guards against rules of the replica change that lose an acknowledged entry, or
// let a leader read without it, when disks are lost and replicas are replaced: it
// explores every order of elections, deliveries, losses and changes within bounds.
// BAMBOOWALK_MEASURE=1 takes wider bounds.
func TestModelOfChanges(t *testing.T) {
	const limit = 150_000
	tests := map[string]struct {
		b      modelBounds
		faulty bool
	}{
		"3 replicas, a loss and a replacement": {modelBounds{replicas: 3, spares: 1, losses: 1, terms: 2, data: 1, configs: 1, wipes: 1}, false},
		"3 replicas, two losses in turn":       {modelBounds{replicas: 3, losses: 1, terms: 2, data: 1, configs: 2, wipes: 2}, false},
		"6 replicas, two losses at once":       {modelBounds{replicas: 6, losses: 2, terms: 2, data: 1, configs: 0, wipes: 2}, false},
		"3 replicas, wider":                    {modelBounds{replicas: 3, spares: 1, losses: 1, terms: 3, data: 2, configs: 3, wipes: 1}, false},
		"4 replicas, change before commit":     {modelBounds{replicas: 4, spares: 1, learners: true, terms: 3, data: 1, configs: 1, eagerChange: true}, true},
		"a VM forgets that its disk was lost":  {modelBounds{replicas: 3, losses: 1, terms: 2, data: 1, wipes: 1, keepIncarnation: true}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			most := limit
			if c.faulty {
				most = 8 * limit
			}
			if os.Getenv("BAMBOOWALK_MEASURE") != "" {
				most = 50 * limit
			}
			m := newModel(c.b)
			all := m.explore(most)
			t.Logf("%d states, all of them: %v", len(m.seen), all)
			if (m.fault != "") != c.faulty {
				t.Errorf("got fault %q, want one: %v", m.fault, c.faulty)
			}
		})
	}
}
