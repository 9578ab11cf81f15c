package replica

import (
	"encoding/binary"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Array sizes of the model: the VMs, and the entries of one log.
const (
	modelVMs     = 7
	modelLogSize = 8
)

// Entry kinds in the model.
const (
	modelNone = iota
	modelNoop
	modelData
	modelConfig
)

// Member roles in the model.
const (
	modelAbsent = iota
	modelLearner
	modelVoter
	// modelOutgoing and modelIncoming are voters of the old and of the new voters of a
	// joint config.
	modelOutgoing
	modelIncoming
)

type (
	// modelMember is the role of a VM in a config, and the incarnation for which
	// the role holds.
	modelMember struct{ role, incarnation uint8 }

	modelMembers [modelVMs]modelMember

	modelEntry struct {
		term, kind, data uint8
		config           modelMembers
	}

	// modelReplica is the state of a VM and its disk. The first length entries
	// of log are valid, and commit is the commit index that the VM reached as a
	// leader.
	modelReplica struct {
		incarnation, term, length, commit uint8
		isLeader                          bool
		log                               [modelLogSize]modelEntry
	}

	// modelState is a state of the whole system. An election is a single step,
	// and so is the delivery of one entry with its acknowledgement. A lost or
	// delayed message is modelled by a step that is not taken.
	modelState struct {
		vms [modelVMs]modelReplica
		// nextData is the number of the next data entry, ackedData the bit set
		// of acknowledged data entries, and losses the number of disks lost so
		// far.
		nextData, ackedData, losses uint8
	}

	// modelBounds limits the explored states and selects the rules that the
	// model violates, so that a test can check that the violation is found.
	//
	// The field replicas is the number of VMs that are voters in the initial
	// config, and spares is the number of further VMs. These start with empty
	// disks and outside the config unless learners is set. The fields
	// concurrentLosses and totalLosses are the maximum numbers of disks that
	// are lost at the same time and in total.
	modelBounds struct {
		replicas, spares, concurrentLosses int
		// learners makes the spares learners in the initial config.
		learners                          bool
		terms, data, configs, totalLosses uint8
		// keepIncarnation lets a VM keep its incarnation after it lost its disk.
		// changeBeforeCommit lets a leader change the config before an entry of
		// its own term is committed.
		keepIncarnation, changeBeforeCommit bool
		// automatic applies the rules of manageMembers, with concurrentLosses as the
		// tolerance, instead of those for operators. The model then also checks that
		// the replicas that have their disks can elect a leader that holds every
		// acknowledged entry. With removeBelow, voters are also removed when no more
		// than 2*tolerance+1 are left.
		automatic, removeBelow bool
		// leaveEarly leaves a joint config before it is committed, and leaveAsOutgoing
		// lets the outgoing voter leave it as the leader.
		leaveEarly, leaveAsOutgoing bool
		// uncommittedToLearners lets leaders send learners entries that are not committed.
		uncommittedToLearners bool
	}

	// changeModel explores all states within the bounds.
	changeModel struct {
		modelBounds
		seen      map[[2]uint64]struct{}
		stack     []modelState
		violation string
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
		s.vms[i].length = 1
		s.vms[i].commit = 1
		s.vms[i].log[0] = modelEntry{kind: modelConfig, config: first}
	}
	m.push(&s)
	return m
}

// explore checks states until all are checked, a violation is found, or limit
// states have been found. It reports whether all states were checked.
func (m *changeModel) explore(limit int) bool {
	for len(m.stack) > 0 && m.violation == "" && len(m.seen) < limit {
		s := m.stack[len(m.stack)-1]
		m.stack = m.stack[:len(m.stack)-1]
		m.check(&s)
		m.pushSuccessors(&s)
	}
	return len(m.stack) == 0
}

// push adds a state to the states to be checked, unless it was added before.
func (m *changeModel) push(s *modelState) {
	buf := make([]byte, 0, 2048)
	for i := range m.replicas + m.spares {
		v := &s.vms[i]
		leaderByte := byte(0)
		if v.isLeader {
			leaderByte = 1
		}
		buf = append(buf, v.incarnation, v.term, v.length, v.commit, leaderByte)
		for j := range v.length {
			e := &v.log[j]
			buf = append(buf, e.term, e.kind, e.data)
			if e.kind == modelConfig {
				for _, x := range e.config {
					buf = append(buf, x.role<<4|x.incarnation)
				}
			}
		}
	}
	buf = append(buf, s.nextData, s.ackedData, s.losses)
	var key [2]uint64
	key[0] = xxhash.Sum64(buf)
	key[1] = xxhash.Sum64(binary.BigEndian.AppendUint64(buf, key[0]))
	if _, ok := m.seen[key]; ok {
		return
	}
	m.seen[key] = struct{}{}
	m.stack = append(m.stack, *s)
}

// config returns the newest config in the log and the index of its entry,
// counted from 1. It returns nil and 0 if the log has no config.
func (v *modelReplica) config() (*modelMembers, uint8) {
	for i := v.length; i > 0; i-- {
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
	if v.length == 0 {
		return 0
	}
	return v.log[v.length-1].term
}

// noop returns the index of the no-op entry of the VM's current term, or
// modelLogSize+1 if the log has none.
func (v *modelReplica) noop() uint8 {
	for i := range v.length {
		if v.log[i].term == v.term && v.log[i].kind == modelNoop {
			return i + 1
		}
	}
	return modelLogSize + 1
}

func (x modelMember) votes() bool { return x.role >= modelVoter }

// voters returns the VMs that are voters.
func (c *modelMembers) voters() (ids []int) {
	for i, x := range c {
		if x.votes() {
			ids = append(ids, i)
		}
	}
	return ids
}

func (c *modelMembers) joint() bool {
	for _, x := range c {
		if x.role > modelVoter {
			return true
		}
	}
	return false
}

// hasQuorum reports whether the VMs for which counts returns true form a quorum.
func (c *modelMembers) hasQuorum(counts func(int) bool) bool {
	for _, without := range []uint8{modelIncoming, modelOutgoing} {
		voters, n := 0, 0
		for i, x := range c {
			if !x.votes() || x.role == without {
				continue
			}
			voters++
			if counts(i) {
				n++
			}
		}
		if n <= voters/2 {
			return false
		}
	}
	return true
}

// check reports a violation if a leader could serve a read that misses an
// acknowledged entry. A leader can serve reads while a quorum of the voters in
// the leader's config keep their incarnation and have no higher term than the
// leader.
func (m *changeModel) check(s *modelState) {
	if m.automatic {
		m.checkElectable(s)
	}
	for i := range s.vms {
		l := &s.vms[i]
		if !l.isLeader || l.commit < l.noop() {
			continue
		}
		c, _ := l.config()
		follows := c.hasQuorum(func(j int) bool {
			return c[j].incarnation == s.vms[j].incarnation && s.vms[j].term <= l.term
		})
		for d := range s.nextData {
			if follows && s.ackedData&(1<<d) != 0 && !l.holds(d, l.commit) {
				m.violation = fmt.Sprintf("leader %d of term %d serves reads without acknowledged entry %d", i, l.term, d)
			}
		}
	}
}

// checkElectable reports a state in which no replica could be elected if all replicas
// were connected, or none that holds the acknowledged entries.
func (m *changeModel) checkElectable(s *modelState) {
	for i := range m.replicas + m.spares {
		v := &s.vms[i]
		c, _ := v.config()
		if c == nil || !c[i].votes() || c[i].incarnation != v.incarnation {
			continue
		}
		elected := c.hasQuorum(func(j int) bool {
			f := &s.vms[j]
			upToDate := v.lastTerm() > f.lastTerm() || v.lastTerm() == f.lastTerm() && v.length >= f.length
			return c[j].incarnation == f.incarnation && upToDate
		})
		if !elected {
			continue
		}
		for d := range s.nextData {
			if s.ackedData&(1<<d) != 0 && !v.holds(d, v.length) {
				m.violation = fmt.Sprintf("replica %d can be elected without acknowledged entry %d", i, d)
			}
		}
		return
	}
	m.violation = "no replica can be elected"
}

// lostDisks returns the number of disks that count as lost. With automatic, a lost disk
// counts in each config that has it as a voter, and also while fewer voters than
// 2*concurrentLosses+1 are left because its VM, or the one that replaces it, does not
// vote yet. Of a joint config, the old or the new voters count, whichever have lost more:
// a newcomer may be lost together with the voter that it replaces.
func (m *changeModel) lostDisks(s *modelState) int {
	most := 0
	for k := range m.replicas + m.spares {
		c, _ := s.vms[k].config()
		if c == nil {
			continue
		}
		for _, without := range []uint8{modelIncoming, modelOutgoing} {
			voters, lost, waiting := 0, 0, 0
			for j := range m.replicas + m.spares {
				switch {
				case c[j].votes() && c[j].role != without:
					voters++
					if c[j].incarnation != s.vms[j].incarnation {
						lost++
					}
				case s.vms[j].incarnation > 0:
					waiting++
				}
			}
			most = max(most, lost+min(waiting, max(0, 2*m.concurrentLosses+1-voters)))
		}
	}
	return most
}

func (m *changeModel) pushSuccessors(s *modelState) {
	for i := range m.replicas + m.spares {
		// Lost elections raise the term of the candidate, so a term may be
		// skipped.
		for term := s.vms[i].term + 1; term <= m.terms; term++ {
			m.elect(s, i, term)
		}
		m.loseDisk(s, i)
		if s.vms[i].isLeader {
			m.append(s, i)
			m.change(s, i)
			for j := range m.replicas + m.spares {
				m.replicate(s, i, j)
			}
		}
	}
}

// elect pushes, for each minimal quorum that may elect VM i, the state in which
// VM i is the leader of the term. VM i must be a voter.
func (m *changeModel) elect(s *modelState, i int, term uint8) {
	c, _ := s.vms[i].config()
	if c == nil || !c[i].votes() || c[i].incarnation != s.vms[i].incarnation || s.vms[i].length >= modelLogSize {
		return
	}
	var eligible []int
	for _, j := range c.voters() {
		v := &s.vms[j]
		upToDate := s.vms[i].lastTerm() > v.lastTerm() || s.vms[i].lastTerm() == v.lastTerm() && s.vms[i].length >= v.length
		if j != i && c[j].incarnation == v.incarnation && v.term < term && upToDate {
			eligible = append(eligible, j)
		}
	}
	m.chooseQuorum(c, i, eligible, func(votes []int) {
		n := *s
		for _, j := range votes {
			n.vms[j].term, n.vms[j].isLeader = term, false
		}
		l := &n.vms[i]
		l.term, l.isLeader = term, true
		l.log[l.length] = modelEntry{term: term, kind: modelNoop}
		l.length++
		for d := range s.nextData {
			if s.ackedData&(1<<d) != 0 && !l.holds(d, l.length) {
				m.violation = fmt.Sprintf("leader %d of term %d lacks acknowledged entry %d", i, term, d)
			}
		}
		m.commit(&n, i)
		m.push(&n)
	})
}

// chooseQuorum calls fn with each combination of the eligible VMs that is a quorum
// together with VM i, and is none without any of them.
func (m *changeModel) chooseQuorum(c *modelMembers, i int, eligible []int, fn func([]int)) {
	for k := range len(eligible) + 1 {
		m.choose(eligible, k, nil, func(votes []int) {
			without := func(left int) bool {
				return c.hasQuorum(func(j int) bool { return j == i || j != left && slices.Contains(votes, j) })
			}
			if without(-1) && !slices.ContainsFunc(votes, without) {
				fn(votes)
			}
		})
	}
}

// choose calls fn with each combination of k of the ids.
func (m *changeModel) choose(ids []int, k int, chosen []int, fn func([]int)) {
	switch {
	case k == 0:
		fn(chosen)
	case len(ids) >= k:
		m.choose(ids[1:], k-1, append(chosen[:len(chosen):len(chosen)], ids[0]), fn)
		m.choose(ids[1:], k, chosen, fn)
	}
}

// loseDisk erases the disk of a VM, unless concurrentLosses disks are lost
// already. A lost disk counts while the config of any replica still has the
// lost incarnation as a voter. With keepIncarnation, it counts until the VM has
// a log again.
func (m *changeModel) loseDisk(s *modelState, i int) {
	if s.losses >= m.totalLosses || s.vms[i].length == 0 {
		return
	}
	lost := 0
	for j := range m.replicas + m.spares {
		for k := range m.replicas + m.spares {
			c, _ := s.vms[k].config()
			if c != nil && c[j].votes() && (c[j].incarnation != s.vms[j].incarnation || m.keepIncarnation && s.vms[j].length == 0) {
				lost++
				break
			}
		}
	}
	if !m.automatic && lost >= m.concurrentLosses {
		return
	}
	n := *s
	inc := s.vms[i].incarnation
	if !m.keepIncarnation {
		inc++
	}
	n.vms[i] = modelReplica{incarnation: inc}
	n.losses++
	if m.automatic && m.lostDisks(&n) > m.concurrentLosses {
		return
	}
	m.push(&n)
}

func (m *changeModel) append(s *modelState, i int) {
	if s.nextData >= m.data || s.vms[i].length >= modelLogSize {
		return
	}
	n := *s
	l := &n.vms[i]
	l.log[l.length] = modelEntry{term: l.term, kind: modelData, data: n.nextData}
	l.length++
	n.nextData++
	m.commit(&n, i)
	m.push(&n)
}

// replicate delivers the first entry of leader i that the log of member j lacks
// or contradicts.
func (m *changeModel) replicate(s *modelState, i, j int) {
	c, _ := s.vms[i].config()
	if i == j || c[j].role == modelAbsent || c[j].incarnation != s.vms[j].incarnation || s.vms[j].term > s.vms[i].term {
		return
	}
	n := *s
	l, f := &n.vms[i], &n.vms[j]
	f.term, f.isLeader = l.term, false
	at := uint8(0)
	for at < l.length && at < f.length && l.log[at] == f.log[at] {
		at++
	}
	sendUpTo := l.length
	if c[j].role == modelLearner && !m.uncommittedToLearners {
		sendUpTo = l.commit
	}
	if at < sendUpTo {
		f.log[at] = l.log[at]
		for k := at + 1; k < f.length; k++ {
			f.log[k] = modelEntry{}
		}
		f.length = at + 1
	}
	m.commit(&n, i)
	m.push(&n)
}

// commit advances the commit index of a leader and acknowledges the committed
// data entries.
func (m *changeModel) commit(s *modelState, i int) {
	l := &s.vms[i]
	c, _ := l.config()
	for at := l.length; at > l.commit; at-- {
		if l.log[at-1].term != l.term {
			break
		}
		held := c.hasQuorum(func(j int) bool {
			f := &s.vms[j]
			return j == i || c[j].incarnation == f.incarnation && f.term == l.term && f.length >= at && f.log[at-1] == l.log[at-1]
		})
		if held {
			l.commit = at
			break
		}
	}
	for at := range l.commit {
		if l.log[at].kind == modelData {
			s.ackedData |= 1 << l.log[at].data
		}
	}
}

// change proposes each config that the rules for membership changes allow.
func (m *changeModel) change(s *modelState, i int) {
	l := &s.vms[i]
	c, at := l.config()
	if c[i].role == modelOutgoing && !m.leaveAsOutgoing {
		return // the leader transfers its leadership
	}
	if c.joint() && (at <= l.commit || m.leaveEarly) && l.length < modelLogSize {
		next := *c
		for j := range next {
			switch next[j].role {
			case modelOutgoing:
				next[j] = modelMember{}
			case modelIncoming:
				next[j].role = modelVoter
			}
		}
		m.propose(s, i, next)
		return
	}
	if at > l.commit || l.length >= modelLogSize || !m.changeBeforeCommit && l.commit < l.noop() {
		return
	}
	changes := uint8(0)
	for k := range l.length {
		if l.log[k].kind == modelConfig {
			changes++
		}
	}
	if changes > m.configs {
		return
	}
	goal := l.commit
	if m.automatic {
		// A learner may lag behind by the writes of an ElectionTimeout.
		goal = l.noop()
	}
	caughtUp := func(j int) bool {
		f := &s.vms[j]
		return c[j].role == modelLearner && c[j].incarnation == f.incarnation && f.length >= goal && f.term == l.term
	}
	hasCaughtUp := false
	for j := range c {
		hasCaughtUp = hasCaughtUp || caughtUp(j)
	}
	ids := c.voters()
	whole := true // each voter has its disk
	for _, j := range ids {
		whole = whole && c[j].incarnation == s.vms[j].incarnation
	}
	for j := range m.replicas + m.spares {
		next := *c
		switch {
		case j == i:
			continue
		case c[j].role == modelAbsent || c[j].incarnation < s.vms[j].incarnation:
			next[j] = modelMember{modelLearner, s.vms[j].incarnation}
			m.propose(s, i, next)
		case caughtUp(j) && m.automatic:
			m.promote(s, i, j, whole || len(ids)%2 == 0)
		case caughtUp(j):
			next[j].role = modelVoter
			m.propose(s, i, next)
		}
		if m.automatic {
			if c[j].role == modelVoter && (len(ids) > 2*m.concurrentLosses+1 || m.removeBelow && len(ids) > 1) {
				next = *c
				next[j] = modelMember{}
				m.propose(s, i, next)
			}
			continue
		}
		if c[j].role == modelVoter && (hasCaughtUp || len(ids)%2 == 0 && len(ids) != 2) {
			next = *c
			next[j] = modelMember{}
			m.propose(s, i, next)
		}
	}
}

// promote proposes that VM j votes, as promotion does: as a further voter, if that is
// allowed, or in the place of another one, which may be any that is silent. The others
// must have a quorum of the new config.
func (m *changeModel) promote(s *modelState, i, j int, further bool) {
	c, _ := s.vms[i].config()
	propose := func(next modelMembers, silent int) {
		if next.hasQuorum(func(k int) bool { return k != j && k != silent && c[k].incarnation == s.vms[k].incarnation }) {
			m.propose(s, i, next)
		}
	}
	if further {
		next := *c
		next[j].role = modelVoter
		propose(next, -1)
	}
	for _, k := range c.voters() {
		if k == i {
			continue
		}
		next := *c
		next[j].role, next[k].role = modelIncoming, modelOutgoing
		propose(next, k)
	}
}

func (m *changeModel) propose(s *modelState, i int, c modelMembers) {
	n := *s
	l := &n.vms[i]
	l.log[l.length] = modelEntry{term: l.term, kind: modelConfig, config: c}
	l.length++
	m.commit(&n, i)
	m.push(&n)
}

// Guards against rules for membership changes that lose an acknowledged entry,
// or let a leader serve reads without it, when disks are lost and replicas
// replaced. The test explores all orders of elections, deliveries, disk losses
// and membership changes within the bounds, until it has found a given number
// of states. BAMBOOWALK_MEASURE=1 raises this number.
func TestModelOfChanges(t *testing.T) {
	const limit = 150_000
	tests := map[string]struct {
		bounds        modelBounds
		wantViolation bool
	}{
		"3 replicas, a loss and a replacement":         {modelBounds{replicas: 3, spares: 1, concurrentLosses: 1, terms: 2, data: 1, configs: 1, totalLosses: 1}, false},
		"3 replicas, two losses in turn":               {modelBounds{replicas: 3, concurrentLosses: 1, terms: 2, data: 1, configs: 2, totalLosses: 2}, false},
		"6 replicas, two losses at once":               {modelBounds{replicas: 6, concurrentLosses: 2, terms: 2, data: 1, configs: 0, totalLosses: 2}, false},
		"3 replicas, wider":                            {modelBounds{replicas: 3, spares: 1, concurrentLosses: 1, terms: 3, data: 2, configs: 3, totalLosses: 1}, false},
		"4 replicas, change before commit":             {modelBounds{replicas: 4, spares: 1, learners: true, terms: 3, data: 1, configs: 1, changeBeforeCommit: true}, true},
		"3 replicas, automatic, a loss":                {modelBounds{replicas: 3, spares: 1, concurrentLosses: 1, terms: 2, data: 1, configs: 3, totalLosses: 1, automatic: true}, false},
		"3 replicas, automatic, two losses in turn":    {modelBounds{replicas: 3, spares: 1, concurrentLosses: 1, terms: 2, data: 1, configs: 3, totalLosses: 2, automatic: true}, false},
		"4 replicas, automatic, two losses in turn":    {modelBounds{replicas: 4, spares: 1, concurrentLosses: 1, terms: 2, data: 1, configs: 3, totalLosses: 2, automatic: true}, false},
		"6 replicas, automatic, two losses at once":    {modelBounds{replicas: 6, concurrentLosses: 2, terms: 2, data: 1, configs: 2, totalLosses: 2, automatic: true}, false},
		"3 replicas, automatic, removal of too many":   {modelBounds{replicas: 3, concurrentLosses: 1, terms: 2, data: 1, configs: 1, totalLosses: 1, automatic: true, removeBelow: true}, true},
		"6 replicas, automatic, removal of too many":   {modelBounds{replicas: 6, concurrentLosses: 2, terms: 2, data: 1, configs: 2, totalLosses: 2, automatic: true, removeBelow: true}, true},
		"3 replicas, learners get uncommitted entries": {modelBounds{replicas: 3, spares: 1, learners: true, concurrentLosses: 1, terms: 2, configs: 1, totalLosses: 1, automatic: true, uncommittedToLearners: true}, true},
		"3 replicas, learners get committed entries":   {modelBounds{replicas: 3, spares: 1, learners: true, concurrentLosses: 1, terms: 2, configs: 1, totalLosses: 1, automatic: true}, false},
		"3 replicas, a successor is lost as well":      {modelBounds{replicas: 3, spares: 1, learners: true, concurrentLosses: 1, terms: 2, data: 1, configs: 3, totalLosses: 2, automatic: true}, false},
		"5 replicas, a successor is lost as well":      {modelBounds{replicas: 5, spares: 1, learners: true, concurrentLosses: 2, terms: 2, configs: 2, totalLosses: 3, automatic: true}, false},
		"3 replicas, joint config left by outgoing":    {modelBounds{replicas: 3, spares: 1, learners: true, concurrentLosses: 1, terms: 2, configs: 1, totalLosses: 1, automatic: true, leaveAsOutgoing: true}, true},
		"3 replicas, joint config left too early":      {modelBounds{replicas: 3, spares: 1, learners: true, concurrentLosses: 1, terms: 3, data: 1, configs: 2, totalLosses: 1, automatic: true, leaveEarly: true}, true},
		"a VM keeps its incarnation":                   {modelBounds{replicas: 3, concurrentLosses: 1, terms: 2, data: 1, totalLosses: 1, keepIncarnation: true}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stateLimit := limit
			if c.bounds.automatic {
				stateLimit /= 5
			}
			if c.wantViolation {
				stateLimit = 8 * limit
			}
			if os.Getenv("BAMBOOWALK_MEASURE") != "" {
				stateLimit = 50 * limit
			}
			m := newModel(c.bounds)
			all := m.explore(stateLimit)
			t.Logf("%d states, all checked: %v", len(m.seen), all)
			if (m.violation != "") != c.wantViolation {
				t.Errorf("got violation %q, want one: %v", m.violation, c.wantViolation)
			}
		})
	}
}
