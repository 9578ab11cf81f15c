package replica

import (
	"maps"
	"slices"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/fxamacker/cbor/v2"
)

// Kinds of change of the replicas.
const (
	// AddLearner adds a replica that has announced itself by Join messages.
	AddLearner ChangeKind = "AddLearner"
	// Remove removes a replica that is not the leader.
	Remove ChangeKind = "Remove"
)

type (
	// ChangeKind names a change of the replicas that an operator requests.
	ChangeKind string

	// Member is a replica of the cluster. A learner holds a copy, and neither
	// votes nor counts for commit.
	Member struct {
		Identity
		Voter bool `cbor:"3,keyasint"`
	}

	// Config is the set of replicas. Two consecutive configs of a log differ
	// by at most one voter, so that any two of their quorums intersect.
	Config struct {
		Members []Member `cbor:"1,keyasint"`
	}

	configEntry struct {
		index  Index
		config Config
	}
)

// Validate returns a FieldError for an empty, duplicate or voterless list.
func (c *Config) Validate() error {
	seen := map[fleet.VMID]bool{}
	for _, m := range c.Members {
		if m.VM == "" || seen[m.VM] {
			return &fleet.FieldError{Type: "Config", Field: "Members", Reason: "must have unique names"}
		}
		seen[m.VM] = true
	}
	if len(c.voters()) == 0 {
		return &fleet.FieldError{Type: "Config", Field: "Members", Reason: "must have a voter"}
	}
	return nil
}

func (c *Config) find(vm fleet.VMID) *Member {
	for i := range c.Members {
		if c.Members[i].VM == vm {
			return &c.Members[i]
		}
	}
	return nil
}

func (c *Config) voters() []Identity {
	var ids []Identity
	for _, m := range c.Members {
		if m.Voter {
			ids = append(ids, m.Identity)
		}
	}
	return ids
}

func (c *Config) isVoter(id Identity) bool {
	m := c.find(id.VM)
	return m != nil && m.Voter && m.Identity == id
}

// reached reports whether the voters for which ok holds form a quorum.
func (c *Config) reached(ok func(Identity) bool) bool {
	voters := c.voters()
	n := 0
	for _, id := range voters {
		if ok(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// quorumValue returns the highest value that a quorum of voters has reached.
func quorumValue[T ~uint64](c *Config, value func(Identity) T) T {
	var values []T
	for _, id := range c.voters() {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// with returns a copy of the config in which m replaces the member of its VM.
func (c *Config) with(m Member) Config {
	next := c.without(m.VM)
	next.Members = append(next.Members, m)
	return next
}

func (c *Config) without(vm fleet.VMID) Config {
	members := slices.Clone(c.Members)
	return Config{Members: slices.DeleteFunc(members, func(m Member) bool { return m.VM == vm })}
}

func decodeConfig(data []byte) (Config, error) {
	var c Config
	if err := decMode.Unmarshal(data, &c); err != nil {
		return c, &DecodeError{What: "config", Err: err}
	}
	return c, c.Validate()
}

// config returns the newest config of the log, committed or not.
func (r *Replica) config() *Config { return &r.configs[len(r.configs)-1].config }

// configAt returns the config that was in force at index.
func (r *Replica) configAt(index Index) Config {
	c := r.configs[0].config
	for _, e := range r.configs[1:] {
		if e.index <= index {
			c = e.config
		}
	}
	return c
}

// indexConfigs rebuilds the list of configs from snapshot and log.
func (r *Replica) indexConfigs() {
	r.configs = append(r.configs[:0:0], configEntry{index: r.snap.At.Index, config: r.snap.Config})
	for i := range r.log {
		if r.log[i].Index > r.snap.At.Index {
			r.noteConfig(&r.log[i])
		}
	}
	r.followConfig()
}

func (r *Replica) noteConfig(e *Entry) {
	if e.Kind != ConfigEntry {
		return
	}
	c, err := decodeConfig(e.Data)
	if err != nil {
		r.stop(err)
		return
	}
	r.configs = append(r.configs, configEntry{index: e.Index, config: c})
}

// followConfig adapts the role to the newest config: only voters campaign.
func (r *Replica) followConfig() {
	voter := r.config().isVoter(r.self)
	switch {
	case r.role == roleStopped:
	case voter && r.role == roleLearner:
		r.fire(eventPromote)
		r.resetElection()
	case !voter && r.role != roleLearner:
		r.fire(eventDemote)
	}
}

// Change starts a change of the replicas. The outcome is a Result with the
// returned id. Learners are promoted by the leader without a request, once
// their copy is durable and caught up. It returns a NotLeaderError or a
// ChangeError.
func (r *Replica) Change(kind ChangeKind, vm fleet.VMID) (ProposalID, error) {
	if err := r.mustLead(); err != nil {
		return 0, err
	}
	c := r.config()
	switch kind {
	case AddLearner:
		inc, ok := r.joining[vm]
		if !ok {
			return 0, &ChangeError{VM: vm, Reason: "the replica has not announced itself"}
		}
		if c.find(vm) != nil {
			return 0, &ChangeError{VM: vm, Reason: "the replica is already a member"}
		}
		return r.changeTo(vm, c.with(Member{Identity: Identity{VM: vm, Incarnation: inc}}))
	case Remove:
		if vm == r.self.VM {
			return 0, &ChangeError{VM: vm, Reason: "the leader must transfer its leadership first"}
		}
		if c.find(vm) == nil {
			return 0, &ChangeError{VM: vm, Reason: "the replica is no member"}
		}
		return r.changeTo(vm, c.without(vm))
	}
	return 0, &ChangeError{VM: vm, Reason: "unknown kind of change"}
}

// changeTo appends a config. It requires that the previous config and an entry
// of the leader's own term are committed: without the latter, two leaders
// could use configs whose quorums do not intersect.
func (r *Replica) changeTo(vm fleet.VMID, next Config) (ProposalID, error) {
	if r.configs[len(r.configs)-1].index > r.commit || r.commit < r.noop {
		return 0, &ChangeError{VM: vm, Reason: "an earlier change is not committed"}
	}
	if !next.reached(r.heardRecently) {
		return 0, &ChangeError{VM: vm, Reason: "too few voters would be reachable"}
	}
	data, err := cbor.Marshal(&next)
	if err != nil {
		return 0, &DecodeError{What: "config", Err: err}
	}
	id := r.appendOwn(ConfigEntry, data)
	r.followProgress()
	return id, nil
}

// manageMembers proposes at most one change: the removal of a silent voter, the
// replacement of a member by its new incarnation as a learner, the promotion of
// a learner, or the admission of a new replica. A learner's match is durable,
// because replies are released only after a sync.
func (r *Replica) manageMembers() {
	c := r.config()
	if vm := r.replaceable(); vm != "" {
		r.changeOwn(vm, c.without(vm))
		return
	}
	for _, m := range c.Members {
		if inc := r.joining[m.VM]; inc > m.Incarnation && m.VM != r.self.VM {
			r.changeOwn(m.VM, c.with(Member{Identity: Identity{VM: m.VM, Incarnation: inc}}))
			return
		}
		if r.promotable(&m) {
			r.changeOwn(m.VM, c.with(Member{Identity: m.Identity, Voter: true}))
			return
		}
	}
	if !r.o.Admit {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(r.joining)) {
		if c.find(vm) == nil {
			r.changeOwn(vm, c.with(Member{Identity: Identity{VM: vm, Incarnation: r.joining[vm]}}))
			return
		}
	}
}

// promotable reports whether a member is a learner whose copy is caught up.
func (r *Replica) promotable(m *Member) bool {
	p := r.progress[m.VM]
	return !m.Voter && p != nil && p.match >= max(r.beatCommit, r.noop) && r.heardRecently(m.Identity)
}

// replaceable returns a member that has been silent for ReplaceAfter: a
// learner, or a voter whose removal leaves a better set of voters, since a
// learner takes its place or the number of voters becomes odd. Removing it
// before the promotion keeps the quorum among replicas that are known to run.
func (r *Replica) replaceable() fleet.VMID {
	if r.o.ReplaceAfter == 0 {
		return ""
	}
	c := r.config()
	voters := c.voters()
	spare := slices.ContainsFunc(c.Members, func(m Member) bool { return r.promotable(&m) })
	keepVoters := !spare && (len(voters)%2 == 1 || len(voters) == 2)
	for _, m := range c.Members {
		p := r.progressOf(m.Identity)
		silent := m.Identity != r.self && p != nil && r.promise-p.heard >= r.o.ReplaceAfter
		if silent && !(m.Voter && keepVoters) {
			return m.VM
		}
	}
	return ""
}

// syncedVoters counts the voters whose durable copy holds the newest config,
// once it is committed.
func (r *Replica) syncedVoters() int {
	index := r.configs[len(r.configs)-1].index
	if r.role != roleLeader || r.commit < max(index, r.noop) {
		return 0
	}
	n := 0
	for _, id := range r.config().voters() {
		if p := r.progressOf(id); id == r.self || p != nil && p.match >= index {
			n++
		}
	}
	return n
}

// changeOwn proposes a config about vm that nobody requested, so that no Result
// is reported. A refusal is tried again at the next heartbeat. The replica must
// announce itself again to be admitted again.
func (r *Replica) changeOwn(vm fleet.VMID, next Config) {
	if _, err := r.changeTo(vm, next); err == nil {
		delete(r.joining, vm)
		r.pendingBytes -= len(r.entry(r.lastIndex()).Data)
		delete(r.waiting, r.lastIndex())
	}
}
