package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
		// Outgoing and Incoming are set in joint configs, for a voter that belongs to
		// the old voters only, and for one that belongs to the new voters only.
		Outgoing bool `cbor:"4,keyasint,omitempty"`
		Incoming bool `cbor:"5,keyasint,omitempty"`
	}

	// Config is the set of members. Consecutive configs in a log differ by at most one
	// voter, so that any quorum of one intersects any quorum of the other, or one of
	// them is joint.
	//
	// A joint config replaces a voter, as in section 4.3 of Ongaro's dissertation on
	// Raft ("Consensus: Bridging Theory and Practice", 2014). A quorum of it is one of
	// the old voters and one of the new voters. So neither the voter that leaves nor
	// the one that comes is needed at any time. The config without the outgoing voter
	// follows once the joint one is committed.
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
	old, next := c.voterSets()
	if len(old) == 0 || len(next) == 0 {
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

// joint reports whether the config is joint.
func (c *Config) joint() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Outgoing || m.Incoming })
}

// voterSets returns the old and the new voters. They are the same unless the config is
// joint.
func (c *Config) voterSets() (old, next []Identity) {
	for _, m := range c.Members {
		if m.Voter && !m.Incoming {
			old = append(old, m.Identity)
		}
		if m.Voter && !m.Outgoing {
			next = append(next, m.Identity)
		}
	}
	return old, next
}

// spare returns how many of the voters for which counts returns true may be missing
// until the others are no quorum. The result is negative if they are none now.
func (c *Config) spare(counts func(Identity) bool) int {
	old, next := c.voterSets()
	return min(spareOf(old, counts), spareOf(next, counts))
}

func spareOf(voters []Identity, counts func(Identity) bool) int {
	n := 0
	for _, id := range voters {
		if counts(id) {
			n++
		}
	}
	return n - len(voters)/2 - 1
}

// hasQuorum reports whether the voters for which counts returns true form a
// quorum.
func (c *Config) hasQuorum(counts func(Identity) bool) bool { return c.spare(counts) >= 0 }

// quorumValue returns the highest value that a quorum of voters has reached;
// value returns the value of one voter.
func quorumValue[T ~uint64](c *Config, value func(Identity) T) T {
	old, next := c.voterSets()
	return min(medianValue(old, value), medianValue(next, value))
}

// medianValue returns the highest value that more than half of the voters have reached.
func medianValue[T ~uint64](voters []Identity, value func(Identity) T) T {
	var values []T
	for _, id := range voters {
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

// withReplacement returns the joint config in which the learner next replaces the voter
// former.
func (c *Config) withReplacement(former fleet.VMID, next Identity) Config {
	joint := c.withMember(Member{Identity: next, Voter: true, Incoming: true})
	joint.find(former).Outgoing = true
	return joint
}

// withoutOutgoing returns the config that follows a joint one, and the member that
// leaves.
func (c *Config) withoutOutgoing() (next Config, former fleet.VMID) {
	for _, m := range c.Members {
		if m.Outgoing {
			former = m.VM
			continue
		}
		m.Incoming = false
		next.Members = append(next.Members, m)
	}
	return next, former
}

// sameVoters reports whether two configs have the same quorums.
func (c *Config) sameVoters(other *Config) bool {
	return !c.joint() && !other.joint() && maps.Equal(c.voterSet(), other.voterSet())
}

func (c *Config) voterSet() map[Identity]bool {
	set := map[Identity]bool{}
	for _, id := range c.voters() {
		set[id] = true
	}
	return set
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
	if !r.configCommitted() || r.config().joint() {
		return 0, uncommittedError(vm)
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

func uncommittedError(vm fleet.VMID) *MembershipError {
	return &MembershipError{VM: vm, Reason: "an earlier membership change or the first entry of the term is not committed"}
}

// votersCommitted reports whether the voters of the newest config are those of a
// committed one, and the first entry of the leader's own term is committed. The quorums
// of a config that differs by one voter then intersect those of all configs that a
// replica may have.
func (r *Replica) votersCommitted() bool {
	if r.commit < r.noopIndex {
		return false
	}
	c := r.configAt(r.commit)
	for i := range r.configs {
		if e := &r.configs[i]; e.index > r.commit && !e.config.sameVoters(&c) {
			return false
		}
	}
	return true
}

// proposeConfig appends an entry with the config next, which adds, changes or
// removes the member vm. It returns a MembershipError unless a quorum of the
// new voters is reachable, and the previous config and an entry of the leader's
// own term are committed. If no entry of the leader's own term were committed,
// two leaders could use configs whose quorums do not intersect. The removal of a
// voter does not wait for a previous config that changes learners only, which may
// be impossible to commit without it.
func (r *Replica) proposeConfig(vm fleet.VMID, next Config) (ProposalID, error) {
	removal := len(next.voters()) < len(r.config().voters()) && !r.config().joint()
	if !r.configCommitted() && !(removal && r.votersCommitted()) {
		return 0, uncommittedError(vm)
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

// manageMembers proposes at most one change: the end of a joint config, the removal of
// an unreachable member, the replacement of a member by a learner with another
// incarnation of the same VM, the promotion of a learner, or the admission of a new
// replica.
// Whether a learner can be promoted is decided from its match index (see
// promotable): the entries up to that index are durable at the learner, because
// a replica replies only after a sync.
func (r *Replica) manageMembers() {
	c := r.config()
	if c.joint() {
		next, former := c.withoutOutgoing()
		if former == r.self.VM {
			// Only this replica would hold the entry of a config by which it can't be
			// elected, and the others may need its vote. Without another active voter, it
			// goes on to lead.
			_ = r.transfer()
			return
		}
		r.proposeInternalChange(former, next)
		return
	}
	if vm := r.removableMember(); vm != "" {
		r.proposeInternalChange(vm, c.withoutMember(vm))
		return
	}
	for _, m := range c.Members {
		if inc := r.joinRequests[m.VM]; inc != 0 && inc != m.Incarnation {
			r.proposeInternalChange(m.VM, c.withMember(Member{Identity: Identity{VM: m.VM, Incarnation: inc}}))
			return
		}
		if next, ok := r.promotion(&m); ok {
			r.proposeInternalChange(m.VM, next)
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

// promotion returns the config in which a learner votes, and reports whether it may be
// proposed now. The learner may fail at any moment, so that the new config must have a
// quorum without it.
//
// The predecessor of a newcomer, which is gone, may still be a voter. A voter that has
// answered a heartbeat from after the admission of the newcomer is not. If each voter has,
// the learner becomes a further voter. Otherwise it replaces one that has been silent for
// an ElectionTimeout, in a joint config. While there is no such voter, the learner waits,
// unless the quorum of the present voters does not grow.
func (r *Replica) promotion(m *Member) (Config, bool) {
	if !r.promotable(m) {
		return Config{}, false
	}
	c, p := r.config(), r.progress[m.VM]
	var former Identity
	longest, unheard := time.Duration(0), false
	for _, id := range c.voters() {
		v := r.progressOf(id)
		if id == r.self || v == nil || v.round > p.admittedRound {
			continue
		}
		unheard = true
		if silence := r.electionClock - v.lastContact; silence >= r.opts.ElectionTimeout && silence > longest {
			former, longest = id, silence
		}
	}
	next := c.withMember(Member{Identity: m.Identity, Voter: true})
	switch {
	case former.VM != "":
		next = c.withReplacement(former.VM, m.Identity)
	case unheard && len(c.voters())%2 == 1:
		return Config{}, false
	}
	return next, next.hasQuorum(func(id Identity) bool { return id != m.Identity && r.recentlyActive(id) })
}

// promotable reports whether a member is a learner that has answered just now, and whose
// durable log has reached the first entry of the leader's term and what was committed an
// ElectionTimeout ago or later. A learner that reaches its goal too late
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

// removableMember returns a removable member, or "" if there is none: the voter that has
// been silent for the longest time, or a learner. Others may only be cut off, and are
// needed for the commit of the removal. A member is removable after a silence of RemoveAfter, and a voter already after ElectionTimeout if
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
	voter, learner := fleet.VMID(""), fleet.VMID("")
	longest := time.Duration(0)
	for _, m := range c.Members {
		p := r.progressOf(m.Identity)
		if m.Identity == r.self || p == nil {
			continue
		}
		silence := r.electionClock - p.lastContact
		switch {
		case m.Voter && !keepVoters && silence >= max(voterLimit, longest):
			voter, longest = m.VM, silence
		case !m.Voter && silence >= r.opts.RemoveAfter:
			learner = m.VM
		}
	}
	return cmp.Or(voter, learner)
}

// spareVoters returns the number of voters that may still be lost before no quorum of
// recently active voters is left.
func (r *Replica) spareVoters() int { return r.config().spare(r.recentlyActive) }

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
