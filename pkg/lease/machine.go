package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// For the holder, a lease lasts 9/10 of LeaseTime after the request was
	// sent. For a grantor, it lasts 9/8 of LeaseTime after the reply. The rates
	// of both clocks may be wrong by 10 %. In true time, the lease then lasts
	// at least 9/8 * 1/1.1 > 1 LeaseTime for the grantor and at most 9/10 *
	// 1/0.9 = 1 LeaseTime for the holder.
	holderNumerator, holderDenominator   = 9, 10
	grantorNumerator, grantorDenominator = 9, 8

	// firstViewGap is added to the highest known epoch to get the epoch of a
	// first view, because a council that lost its state may have chosen later
	// epochs that no reachable VM knows. At 5 epochs per second the gap covers
	// 13 minutes.
	firstViewGap = 4096
	// firstViewRange is the exclusive upper bound of firstViewOffset. Each
	// first view raises the 32-bit counter of the epoch by less than
	// firstViewGap + firstViewRange, so there is room for 60,000 first views
	// per revision.
	firstViewRange = 1 << 16

	historySize = 64 // maximum number of deltas kept for VMs with an older view
	fetchWindow = 8  // maximum number of datagrams per reply to a Fetch
)

type (
	// Council is the set of VMs that grant leases and choose views.
	Council struct {
		Revision uint32 // settings revision; increases with each change
		Members  []fleet.VMID
	}

	// Config holds the settings of a Machine. Zero durations are replaced by
	// the default given at the field.
	Config struct {
		Self        fleet.VM
		Zone        fleet.ZoneID
		Incarnation fleet.Incarnation // must increase with each restart
		Rand        *rand.Rand
		Recorder    timeline.Recorder // default: timeline.Discard

		LeaseTime               time.Duration // 1.5 s; use 5 s at the design scale of 2,900 entry VMs
		RenewInterval           time.Duration // 300 ms; use 1 s at the design scale
		EpochInterval           time.Duration // 200 ms; minimum time between two epochs
		BallotTimeout           time.Duration // 500 ms; must be below LeaseTime / 2
		RankDelay               time.Duration // 500 ms; a member of rank n waits n * RankDelay before it proposes
		SettingsPropagationTime time.Duration // 8 s; maximum time for a settings revision to reach all VMs
	}

	// Stats holds the counters of a Machine. They never decrease.
	Stats struct {
		Adopted        uint64 // views adopted
		SealedViews    uint64 // views that this VM learned to be sealed
		Ballots        uint64 // ballots started
		BallotsFailed  uint64
		Granted        uint64 // leases granted as a council member
		Refused        uint64 // leases refused as a council member
		Fetches        uint64 // Fetch messages sent
		ChunksSent     uint64
		Recoveries     uint64 // recoveries of the acceptor state from the council
		FirstViews     uint64 // first views chosen by ballots of this VM
		LeasesLost     uint64
		StaleMessages  uint64 // messages, except Recover and State, with another council revision
		TargetsDropped uint64 // Report messages not fully accepted because maxPending target reports were pending
	}

	request struct {
		seq    uint32
		sentAt time.Time
	}

	// Machine is the lease state machine of one VM. Invariants: view.Epoch
	// never decreases; a lease is valid only in view.Epoch; a council member
	// grants only in view.Epoch and only while voting is true.
	Machine struct {
		cfg         Config
		council     Council
		prevCouncil []fleet.VMID // members of the previous council
		self        fleet.VMID
		stats       Stats
		outbox      []Envelope
		loopback    []Message // messages to this VM itself
		startedAt   time.Time

		// State that every VM has, inside or outside the council.
		view             *View
		lastSealed       *View
		sealed           bool        // view is sealed
		highestEpoch     fleet.Epoch // highest epoch that any VM is known to have adopted
		fetchFrom        fleet.VMID  // receiver of the next Fetch
		highestEpochAt   time.Time
		seq              uint32
		requests         []request
		grantedRequestAt map[fleet.VMID]time.Time // by grantor: sending time of the last granted request in view.Epoch
		lastReply        map[fleet.VMID]time.Time // by council member: time of its last reply
		nextRenew        time.Time
		retries          int
		hadLease         bool
		proposerID       fleet.VMID
		lastFetch        time.Time
		reassembly       reassembly
		history          []Delta
		bufferedDeltas   map[fleet.Epoch]*Delta // by Base; received before their predecessor
		desiredTargets   map[fleet.TargetKey]fleet.Target
		nextReport       time.Time

		acceptor
		proposer
	}

	// reassembly collects the chunks of a full view.
	reassembly struct {
		epoch     fleet.Epoch
		parts     []*Delta
		windowEnd int // first part after the requested window
		lastChunk time.Time
	}
)

// New returns a Machine without a council. The Machine does nothing until
// SetCouncil is called.
func New(cfg Config, now time.Time) *Machine {
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard{}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&cfg.LeaseTime, 1500 * time.Millisecond},
		{&cfg.RenewInterval, 300 * time.Millisecond},
		{&cfg.EpochInterval, 200 * time.Millisecond},
		{&cfg.BallotTimeout, 500 * time.Millisecond},
		{&cfg.RankDelay, 500 * time.Millisecond},
		{&cfg.SettingsPropagationTime, 8 * time.Second},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	m := &Machine{
		cfg: cfg, self: cfg.Self.ID, startedAt: now, view: &View{}, nextRenew: now,
		grantedRequestAt: make(map[fleet.VMID]time.Time), lastReply: make(map[fleet.VMID]time.Time),
		bufferedDeltas: make(map[fleet.Epoch]*Delta), desiredTargets: make(map[fleet.TargetKey]fleet.Target),
	}
	m.acceptor.reset()
	m.proposer.pendingTargets = make(map[fleet.TargetKey]targetReport)
	m.seq = cfg.Rand.Uint32() >> 8
	return m
}

// grantDuration returns how long a grantor treats a lease as valid after the
// reply, by the clock of the grantor.
func (m *Machine) grantDuration() time.Duration {
	return m.cfg.LeaseTime * grantorNumerator / grantorDenominator
}

// SetCouncil sets the council of a settings revision. Revisions that are not
// later than the current one are ignored.
func (m *Machine) SetCouncil(c Council, now time.Time) {
	if c.Revision <= m.council.Revision {
		return
	}
	first := m.council.Revision == 0
	m.prevCouncil = m.council.Members
	m.council = Council{Revision: c.Revision, Members: slices.Sorted(slices.Values(c.Members))}
	clear(m.grantedRequestAt)
	clear(m.lastReply)
	m.nextRenew, m.proposal, m.proposerID = now, nil, ""
	m.acceptor.resetForCouncil(m, first, now)
}

// Handle processes a message from a peer and returns the messages to send.
func (m *Machine) Handle(from fleet.VMID, msg Message, now time.Time) []Envelope {
	if from == m.self || m.council.Revision == 0 {
		return nil
	}
	m.dispatch(from, &msg, now)
	return m.flush(now)
}

// Tick runs the timers that are due and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Envelope {
	if m.council.Revision == 0 {
		return nil
	}
	m.tickHolder(now)
	if m.inCouncil(m.self) {
		m.tickAcceptor(now)
		m.tickProposer(now)
	}
	return m.flush(now)
}

// flush processes the messages to this VM itself and returns the others.
func (m *Machine) flush(now time.Time) []Envelope {
	for len(m.loopback) > 0 {
		msg := m.loopback[0]
		m.loopback = m.loopback[1:]
		m.dispatch(m.self, &msg, now)
	}
	out := m.outbox
	m.outbox = nil
	return out
}

func (m *Machine) send(to fleet.VMID, msg Message) {
	msg.Revision = m.council.Revision
	if to == m.self {
		m.loopback = append(m.loopback, msg)
		return
	}
	m.outbox = append(m.outbox, Envelope{To: to, Message: msg})
}

func (m *Machine) sendToCouncil(msg Message) {
	for _, id := range m.council.Members {
		m.send(id, msg)
	}
}

func (m *Machine) dispatch(from fleet.VMID, msg *Message, now time.Time) {
	if msg.Kind == Recover {
		m.handleRecover(from, msg, now)
		return
	}
	if msg.Kind == State && msg.Revision > m.council.Revision {
		return
	}
	if msg.Revision != m.council.Revision && msg.Kind != State {
		m.stats.StaleMessages++
		return
	}
	switch msg.Kind {
	case Grant:
		m.handleGrant(from, msg, now)
	case Deltas:
		m.handleDeltas(from, msg, now)
	case Chunk:
		m.handleChunk(from, msg, now)
	case Sealed:
		m.handleSealed(from, msg, now)
	case Fetch:
		m.handleFetch(from, msg)
	case State:
		m.handleState(from, msg, now)
	}
	if !m.inCouncil(m.self) {
		return
	}
	switch msg.Kind {
	case Request:
		m.handleRequest(from, msg, now)
	case Report:
		m.handleReport(msg, now)
	}
	if !m.inCouncil(from) {
		return
	}
	switch msg.Kind {
	case Prepare:
		m.handlePrepare(from, msg, now)
	case Accept:
		m.handleAccept(from, msg, now)
	case Promise:
		m.handlePromise(from, msg, now)
	case Accepted:
		m.handleAccepted(from, msg, now)
	case Nack:
		m.handleNack(from, msg, now)
	case OldLeasesEnded:
		m.handleOldLeasesEnded(from, msg, now)
	}
}

func (m *Machine) inCouncil(id fleet.VMID) bool {
	_, ok := slices.BinarySearch(m.council.Members, id)
	return ok
}

func (m *Machine) quorum() int { return len(m.council.Members)/2 + 1 }

// revisionOf returns the council revision of an epoch: the high-order 32 bits.
func revisionOf(e fleet.Epoch) uint32 { return uint32(e >> 32) }

// viewCurrent reports whether the current council chose the view.
func (m *Machine) viewCurrent() bool { return revisionOf(m.view.Epoch) == m.council.Revision }

// noteEpoch records an epoch that a VM is known to have adopted and the VM from
// which to fetch the view. It ignores epochs of a later council and epochs that
// are not higher than all epochs recorded before.
func (m *Machine) noteEpoch(e fleet.Epoch, from fleet.VMID, now time.Time) {
	if revisionOf(e) > m.council.Revision {
		return
	}
	if e > m.highestEpoch {
		m.highestEpoch, m.fetchFrom, m.highestEpochAt = e, from, now
	}
}

func (m *Machine) record(k timeline.Kind, name, cause string, now time.Time) {
	m.cfg.Recorder.Record(timeline.Event{
		Kind: k, Name: name, Zone: m.cfg.Zone, VM: m.self, Epoch: m.view.Epoch, Cause: cause,
	}, now)
}
