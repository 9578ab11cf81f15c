package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// A holder counts 9/10 of LeaseTime from the sending of its request, a
	// grantor 9/8 from its reply. Both clocks may be wrong by 10 %: at least
	// 9/8 * 1/1.1 > 1 of true time at the grantor, at most 9/10 * 1/0.9 = 1
	// at the holder.
	holderNumerator, holderDenominator   = 9, 10
	grantorNumerator, grantorDenominator = 9, 8

	// formationGap separates the epoch of a first view from those that a lost
	// council may have chosen unknown to the VMs that answer. At 5 epochs a
	// second it is worth 13 minutes.
	formationGap = 4096
	// formationSpread leaves room for 60,000 first views per council revision.
	formationSpread = 1 << 16

	historySize = 64 // deltas that are kept for VMs that lag behind
	fetchWindow = 8  // datagrams per reply to a Fetch
)

type (
	// Council names the VMs that grant leases and choose views.
	Council struct {
		Revision uint32 // settings revision; rises with each change
		Members  []fleet.VMID
	}

	// Config holds the settings of a Machine; zero durations get the defaults
	// that are named at each field.
	Config struct {
		Self        fleet.VM
		Zone        fleet.ZoneID
		Incarnation fleet.Incarnation // must rise with each restart
		Rand        *rand.Rand
		Recorder    timeline.Recorder // default: timeline.Discard

		LeaseTime     time.Duration // 1.5 s; 5 s at design scale
		RenewInterval time.Duration // 300 ms; 1 s at design scale
		EpochInterval time.Duration // 200 ms between two epochs at least
		BallotTimeout time.Duration // 500 ms; must be below LeaseTime / 2
		RankDelay     time.Duration // 500 ms per rank until the next proposer
		SettingsTime  time.Duration // 8 s until a settings revision is everywhere
	}

	// Stats counts what a Machine did; the values rise only.
	Stats struct {
		Adopted        uint64 // views
		Seals          uint64
		Ballots        uint64 // started
		BallotsFailed  uint64
		Granted        uint64 // to others, as a council member
		Refused        uint64
		Fetches        uint64 // sent
		ChunksSent     uint64
		Recoveries     uint64
		Formations     uint64
		LeasesLost     uint64
		StaleMessages  uint64 // of another council revision
		TargetsDropped uint64 // reports beyond the bound
	}

	request struct {
		seq uint32
		at  time.Time
	}

	// Machine is the lease state machine of one VM. Invariants: view.Epoch
	// never falls; a lease counts only in view.Epoch; a council member grants
	// only in view.Epoch and only while it is intact.
	Machine struct {
		cfg     Config
		council Council
		old     []fleet.VMID // the council before
		self    fleet.VMID
		stats   Stats
		out     []Envelope
		local   []Message // to this VM itself
		born    time.Time

		// Every VM.
		view       *View
		lastSealed *View
		sealed     bool // view is sealed
		known      fleet.Epoch
		knownBy    fleet.VMID
		knownAt    time.Time
		seq        uint32
		requests   []request
		granted    map[fleet.VMID]time.Time // sending time of the last granted request in view.Epoch
		answered   map[fleet.VMID]time.Time // last reply of a council member
		nextRenew  time.Time
		retries    int
		hadLease   bool
		proposerID fleet.VMID
		fetchAt    time.Time
		assembly   assembly
		history    []Delta
		early      map[fleet.Epoch]*Delta // by Base, which is not adopted yet
		wanted     map[fleet.TargetKey]fleet.Target
		nextReport time.Time

		acceptor
		proposer
	}

	// assembly collects the chunks of a full view.
	assembly struct {
		epoch fleet.Epoch
		parts []*Delta
		end   int // of the window that was asked for
		at    time.Time
	}
)

// New returns a Machine without a council; it does nothing before SetCouncil.
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
		{&cfg.SettingsTime, 8 * time.Second},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	m := &Machine{
		cfg: cfg, self: cfg.Self.ID, born: now, view: &View{}, nextRenew: now,
		granted: make(map[fleet.VMID]time.Time), answered: make(map[fleet.VMID]time.Time),
		early: make(map[fleet.Epoch]*Delta), wanted: make(map[fleet.TargetKey]fleet.Target),
	}
	m.acceptor.reset()
	m.proposer.pending = make(map[fleet.TargetKey]change)
	m.seq = cfg.Rand.Uint32() >> 8
	return m
}

// grantTime is how long a grantor counts a lease, by its own clock.
func (m *Machine) grantTime() time.Duration {
	return m.cfg.LeaseTime * grantorNumerator / grantorDenominator
}

// SetCouncil sets the council of a settings revision; older revisions are
// ignored.
func (m *Machine) SetCouncil(c Council, now time.Time) {
	if c.Revision <= m.council.Revision {
		return
	}
	first := m.council.Revision == 0
	m.old = m.council.Members
	m.council = Council{Revision: c.Revision, Members: slices.Sorted(slices.Values(c.Members))}
	clear(m.granted)
	clear(m.answered)
	m.nextRenew, m.proposal, m.proposerID = now, nil, ""
	m.acceptor.begin(m, first, now)
}

// Handle takes a message from a peer.
func (m *Machine) Handle(from fleet.VMID, msg Message, now time.Time) []Envelope {
	if from == m.self || m.council.Revision == 0 {
		return nil
	}
	m.dispatch(from, &msg, now)
	return m.finish(now)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) []Envelope {
	if m.council.Revision == 0 {
		return nil
	}
	m.tickHolder(now)
	if m.inCouncil(m.self) {
		m.tickAcceptor(now)
		m.tickProposer(now)
	}
	return m.finish(now)
}

// finish handles the messages to this VM itself and returns the others.
func (m *Machine) finish(now time.Time) []Envelope {
	for len(m.local) > 0 {
		msg := m.local[0]
		m.local = m.local[1:]
		m.dispatch(m.self, &msg, now)
	}
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) send(to fleet.VMID, msg Message) {
	msg.Revision = m.council.Revision
	if to == m.self {
		m.local = append(m.local, msg)
		return
	}
	m.out = append(m.out, Envelope{To: to, Message: msg})
}

func (m *Machine) toCouncil(msg Message) {
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
	case Clean:
		m.handleClean(from, msg, now)
	}
}

func (m *Machine) inCouncil(id fleet.VMID) bool {
	_, ok := slices.BinarySearch(m.council.Members, id)
	return ok
}

func (m *Machine) quorum() int { return len(m.council.Members)/2 + 1 }

// revisionOf returns the council revision of an epoch, its high-order part.
func revisionOf(e fleet.Epoch) uint32 { return uint32(e >> 32) }

// current reports whether the view was chosen by the present council.
func (m *Machine) current() bool { return revisionOf(m.view.Epoch) == m.council.Revision }

// note remembers the highest epoch that any VM has adopted.
func (m *Machine) note(e fleet.Epoch, from fleet.VMID, now time.Time) {
	if revisionOf(e) > m.council.Revision {
		return
	}
	if e > m.known {
		m.known, m.knownBy, m.knownAt = e, from, now
	}
}

func (m *Machine) record(k timeline.Kind, name, cause string, now time.Time) {
	m.cfg.Recorder.Record(timeline.Event{
		Kind: k, Name: name, Zone: m.cfg.Zone, VM: m.self, Epoch: m.view.Epoch, Cause: cause,
	}, now)
}
