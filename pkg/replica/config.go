package replica

import (
	"maps"
	"slices"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/fxamacker/cbor/v2"
)

// Membership changes that an operator can request.
const (
	// AddLearner adds, as a learner, a replica that has sent a Join message.
	AddLearner MembershipChange = "AddLearner"
	// Remove removes a replica other than the leader.
	Remove MembershipChange = "Remove"
)

type (
	// MembershipChange is the kind of a membership change that an operator requests.
	MembershipChange string

	// Member is a member of the cluster. A member that is not a voter is a
	// learner: it receives the log, but neither votes nor counts towards a
	// quorum.
	Member struct {
		Identity
		Voter bool `cbor:"3,keyasint"`
	}

	// Config is the set of members. Two consecutive configs in a log differ by
	// at most one voter, so that any quorum of one intersects any quorum of the
	// other.
	Config struct {
		Members []Member `cbor:"1,keyasint"`
	}

	configEntry struct {
		index  Index
		config Config
	}
)

// Validate returns a fleet.FieldError if a VM is empty or occurs twice, or if
// there is no voter.
func (c *Config) Validate() error {
	seen := map[fleet.VMID]bool{}
	for _, m := range c.Members {
		if m.VM == "" || seen[m.VM] {
			return &fleet.FieldError{Type: "Config", Field: "Members", Reason: "must have unique, non-empty VMs"}
		}
		seen[m.VM] = true
	}
	if len(c.voters()) == 0 {
		return &fleet.FieldError{Type: "Config", Field: "Members", Reason: "must include a voter"}
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

// hasQuorum reports whether the voters for which counts returns true form a
// quorum.
func (c *Config) hasQuorum(counts func(Identity) bool) bool {
	voters := c.voters()
	n := 0
	for _, id := range voters {
		if counts(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// quorumValue returns the highest value that a quorum of voters has reached;
// value returns the value of one voter.
func quorumValue[T ~uint64](c *Config, value func(Identity) T) T {
	var values []T
	for _, id := range c.voters() {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// withMember returns a copy of the config that contains m, which replaces any
// member with the same VM.
func (c *Config) withMember(m Member) Config {
	next := c.withoutMember(m.VM)
	next.Members = append(next.Members, m)
	return next
}

func (c *Config) withoutMember(vm fleet.VMID) Config {
	members := slices.Clone(c.Members)
	return Config{Members: slices.DeleteFunc(members, func(m Member) bool { return m.VM == vm })}
}

func decodeConfig(data []byte) (Config, error) {
	var c Config
	if err := decMode.Unmarshal(data, &c); err != nil {
		return c, &DecodeError{Type: "config", Err: err}
	}
	return c, c.Validate()
}

// config returns the newest config in the log, committed or not.
func (r *Replica) config() *Config { return &r.configs[len(r.configs)-1].config }

// configAt returns the newest config at or before index.
func (r *Replica) configAt(index Index) Config {
	c := r.configs[0].config
	for _, e := range r.configs[1:] {
		if e.index <= index {
			c = e.config
		}
	}
	return c
}

// rebuildConfigs rebuilds the list of configs from the snapshot and the log.
func (r *Replica) rebuildConfigs() {
	r.configs = append(r.configs[:0:0], configEntry{index: r.snap.At.Index, config: r.snap.Config})
	for i := range r.log {
		if r.log[i].Index > r.snap.At.Index {
			r.trackConfig(&r.log[i])
		}
	}
	r.updateRole()
}

func (r *Replica) trackConfig(e *Entry) {
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

// updateRole adapts the role to the newest config. A learner that has become a
// voter becomes a follower, and a replica that is no longer a voter becomes a
// learner. Only voters take part in elections.
func (r *Replica) updateRole() {
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

// ChangeMembership proposes a membership change. A later Output holds a Result
// with the returned id. No request is needed to promote a learner: the leader
// promotes it once its durable log has caught up. ChangeMembership returns a
// NotLeaderError, StoppedError or MembershipError.
func (r *Replica) ChangeMembership(kind MembershipChange, vm fleet.VMID) (ProposalID, error) {
	if err := r.checkLeader(); err != nil {
		return 0, err
	}
	c := r.config()
	switch kind {
	case AddLearner:
		inc, ok := r.joinRequests[vm]
		if !ok {
			return 0, &MembershipError{VM: vm, Reason: "the replica has not requested admission"}
		}
		if c.find(vm) != nil {
			return 0, &MembershipError{VM: vm, Reason: "the replica is already a member"}
		}
		return r.proposeConfig(vm, c.withMember(Member{Identity: Identity{VM: vm, Incarnation: inc}}))
	case Remove:
		if vm == r.self.VM {
			return 0, &MembershipError{VM: vm, Reason: "the leader must first transfer its leadership"}
		}
		if c.find(vm) == nil {
			return 0, &MembershipError{VM: vm, Reason: "the replica is not a member"}
		}
		return r.proposeConfig(vm, c.withoutMember(vm))
	}
	return 0, &MembershipError{VM: vm, Reason: "unknown kind of membership change"}
}

// configCommitted reports whether the newest config and the first entry of the leader's
// own term are committed.
func (r *Replica) configCommitted() bool {
	return r.commit >= max(r.configs[len(r.configs)-1].index, r.noopIndex)
}

// proposeConfig appends an entry with the config next, which adds, changes or
// removes the member vm. It returns a MembershipError unless a quorum of the
// new voters is reachable, and the previous config and an entry of the leader's
// own term are committed. If no entry of the leader's own term were committed,
// two leaders could use configs whose quorums do not intersect.
func (r *Replica) proposeConfig(vm fleet.VMID, next Config) (ProposalID, error) {
	if !r.configCommitted() {
		return 0, &MembershipError{VM: vm, Reason: "an earlier membership change or the first entry of the term is not committed"}
	}
	if !next.hasQuorum(r.recentlyActive) {
		return 0, &MembershipError{VM: vm, Reason: "fewer than a quorum of the new voters are reachable"}
	}
	data, err := cbor.Marshal(&next)
	if err != nil {
		return 0, &DecodeError{Type: "config", Err: err}
	}
	change := r.describeChange(vm, &next)
	id := r.appendNewEntry(ConfigEntry, data)
	r.updateProgress()
	r.observeChange(change)
	return id, nil
}

// manageMembers proposes at most one change: the removal of an unreachable
// member, the replacement of a member by a learner with another incarnation of
// the same VM, the promotion of a learner, or the admission of a new replica.
// Whether a learner can be promoted is decided from its match index (see
// promotable): the entries up to that index are durable at the learner, because
// a replica replies only after a sync.
func (r *Replica) manageMembers() {
	c := r.config()
	if vm := r.removableMember(); vm != "" {
		r.proposeInternalChange(vm, c.withoutMember(vm))
		return
	}
	for _, m := range c.Members {
		if inc := r.joinRequests[m.VM]; inc != 0 && inc != m.Incarnation {
			r.proposeInternalChange(m.VM, c.withMember(Member{Identity: Identity{VM: m.VM, Incarnation: inc}}))
			return
		}
		if r.promotable(&m) {
			r.proposeInternalChange(m.VM, c.withMember(Member{Identity: m.Identity, Voter: true}))
			return
		}
	}
	if !r.opts.AutoAdmit {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(r.joinRequests)) {
		if c.find(vm) == nil {
			r.proposeInternalChange(vm, c.withMember(Member{Identity: Identity{VM: vm, Incarnation: r.joinRequests[vm]}}))
			return
		}
	}
}

// promotable reports whether a member is a learner that has answered just now, and whose
// durable log has reached the first entry of the leader's term and what was committed an
// ElectionTimeout ago or later. Each quorum may need the new voter at once, so it must not
// be one that has failed since the last heartbeat. A learner that reaches its goal too late
// gets the present commit index as the next goal. A smaller lag can't be asked for: with
// continuous writes, a learner with a slow disk or processor always lags behind.
func (r *Replica) promotable(m *Member) bool {
	p := r.progress[m.VM]
	if m.Voter || p == nil || p.match < max(p.goal, r.noopIndex) || p.lastContact < r.electionClock {
		return false
	}
	inTime := r.electionClock-p.goalSet < r.opts.ElectionTimeout
	if !inTime {
		p.goal, p.goalSet = r.commit, r.electionClock
	}
	return inTime
}

// removableMember returns a removable member, or "" if there is none. A member is
// removable after a silence of RemoveAfter, and a voter already after ElectionTimeout if
// the loss of one more voter would stop the log, or that of Tolerance more although
// successors have become voters.
//
// A silent voter may be gone for good, and would then count against every quorum. Or
// it may come back with its disk, and is then needed if others lose theirs. With at
// least 2*Tolerance+1 voters, the loss of any Tolerance disks leaves a quorum in the
// second case, and one that holds every committed entry. More voters than that are kept
// only while they answer, and so is an even number, which bears no more lost disks than
// one voter fewer.
func (r *Replica) removableMember() fleet.VMID {
	if r.opts.RemoveAfter == 0 {
		return ""
	}
	c := r.config()
	needed := 2*r.opts.Tolerance + 1
	n := len(c.voters())
	keepVoters := n <= 2 || n <= needed && n%2 == 1
	voterLimit := r.opts.RemoveAfter
	if spare := r.spareVoters(); spare < 1 || spare < r.opts.Tolerance && r.activeVoters() > needed {
		voterLimit = min(voterLimit, r.opts.ElectionTimeout)
	}
	for _, m := range c.Members {
		p := r.progressOf(m.Identity)
		if m.Identity == r.self || p == nil || m.Voter && keepVoters {
			continue
		}
		limit := r.opts.RemoveAfter
		if m.Voter {
			limit = voterLimit
		}
		if r.electionClock-p.lastContact >= limit {
			return m.VM
		}
	}
	return ""
}

// spareVoters returns the number of voters that may still be lost before no quorum of
// recently active voters is left.
func (r *Replica) spareVoters() int {
	return r.activeVoters() - len(r.config().voters())/2 - 1
}

func (r *Replica) activeVoters() int {
	n := 0
	for _, id := range r.config().voters() {
		if r.recentlyActive(id) {
			n++
		}
	}
	return n
}

// syncedVoters returns the number of voters whose durable log holds the newest
// config. It returns 0 if this replica does not lead, or if the newest config
// or the first entry of the leader's term is not yet committed.
func (r *Replica) syncedVoters() int {
	index := r.configs[len(r.configs)-1].index
	if r.role != roleLeader || r.commit < max(index, r.noopIndex) {
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

// proposeInternalChange proposes a config that changes the member vm. No caller
// requested the change, so no Result is reported. A refused change is retried
// at the next heartbeat. A proposed change discards the join request of vm, so
// that the replica must send Join again for another admission.
func (r *Replica) proposeInternalChange(vm fleet.VMID, next Config) {
	if _, err := r.proposeConfig(vm, next); err != nil {
		r.observeRefusedChange(vm, err)
		return
	}
	delete(r.joinRequests, vm)
	delete(r.pendingProposals, r.lastIndex())
}
