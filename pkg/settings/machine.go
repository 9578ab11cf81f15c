package settings

import (
	"cmp"
	"crypto/subtle"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Maximum number of versions kept for each document, and maximum number of
// tombstones kept in the whole tree.
const (
	maxVersions   = 8
	maxTombstones = 4096
)

type (
	// Version is one entry of a document's history. At is the timestamp of the
	// write's log entry.
	Version struct {
		Document
		At time.Time `json:"At" cbor:"5,keyasint"`
	}

	// record keeps the result of one operation for retries.
	record struct {
		Operation   OperationID `cbor:"1,keyasint"`
		Issued      time.Time   `cbor:"2,keyasint"`
		RequestHash uint64      `cbor:"3,keyasint"`
		Result      Result      `cbor:"4,keyasint"`
	}

	// snapshot is the encoded form of a StateMachine's state. Floor holds
	// prunedRevision, and Expired holds expiredUntil.
	snapshot struct {
		Revision fleet.Revision            `cbor:"1,keyasint"`
		Floor    fleet.Revision            `cbor:"2,keyasint"`
		Nodes    []Document                `cbor:"3,keyasint"`
		Records  []record                  `cbor:"4,keyasint"`
		History  map[Path][]Version        `cbor:"5,keyasint"`
		Buckets  map[fleet.TeamName]bucket `cbor:"6,keyasint"`
		Expired  time.Time                 `cbor:"7,keyasint"`
	}
)

// StateMachine applies writes in the order of the log. It takes the time only
// from the timestamps in the log, so that all replicas reach the same state. It
// must be used by one goroutine at a time.
type StateMachine struct {
	tree *tree
	// prunedRevision is the highest revision of a removed tombstone. A delta
	// from a lower revision must be full, because it would lack the removed
	// tombstones.
	prunedRevision fleet.Revision
	tombstones     []Path
	records        map[OperationID]*record
	// operations lists the operations that have a record, in the order of the
	// log. expire removes records in this order.
	operations []OperationID
	history    map[Path][]Version
	buckets    map[fleet.TeamName]*bucket
	// expiredUntil is the latest time of issue among the removed records. An
	// operation issued at or before that time is rejected, even if the
	// timestamps in the log go back.
	expiredUntil time.Time
}

// NewStateMachine returns a state machine without documents.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		tree:    newTree(),
		records: make(map[OperationID]*record),
		history: make(map[Path][]Version),
		buckets: make(map[fleet.TeamName]*bucket),
	}
}

// Apply runs one command at now, the timestamp of its log entry, and returns
// the encoded Result.
func (m *StateMachine) Apply(command []byte, now time.Time) []byte {
	w, err := DecodeWrite(command)
	if err != nil {
		r := ResultOf(err)
		return r.Encode()
	}
	m.expire(now)
	return m.apply(w, now).Encode()
}

func (m *StateMachine) apply(w *Write, now time.Time) *Result {
	request := w.requestHash()
	if rec := m.records[w.Operation]; rec != nil {
		if rec.RequestHash != request {
			return errorResult(&OperationReusedError{Operation: w.Operation})
		}
		return &rec.Result
	}
	issued, err := m.checkOperation(w.Operation, now)
	if err != nil {
		return errorResult(err)
	}
	if !m.mayWrite(w) {
		return errorResult(&ForbiddenError{Path: w.Path})
	}
	if err := m.bucket(w.Path).take(now); err != nil {
		return errorResult(err)
	}
	r := m.write(w, now)
	m.records[w.Operation] = &record{Operation: w.Operation, Issued: issued, RequestHash: request, Result: *r}
	m.operations = append(m.operations, w.Operation)
	return r
}

func (m *StateMachine) checkOperation(id OperationID, now time.Time) (time.Time, error) {
	issued, err := id.Time()
	switch {
	case err != nil:
		return time.Time{}, err
	case issued.After(now.Add(maxClockSkew)):
		return time.Time{}, &OperationError{Operation: string(id), Reason: "lies in the future"}
	case !issued.After(now.Add(-OperationLifetime)) || !issued.After(m.expiredUntil):
		return time.Time{}, &OperationExpiredError{Operation: id}
	}
	return issued, nil
}

// mayWrite reports whether the writer's key allows writes at the path.
func (m *StateMachine) mayWrite(w *Write) bool {
	if w.Root {
		return true
	}
	if w.KeyHash == "" {
		return false
	}
	for _, p := range m.tree.paths("/Access") {
		a := m.tree.nodes[p].content.(*Access)
		if subtle.ConstantTimeCompare([]byte(a.KeyHash), []byte(w.KeyHash)) != 1 {
			continue
		}
		if slices.ContainsFunc(a.Write, w.Path.HasPrefix) {
			return true
		}
	}
	return false
}

func (m *StateMachine) write(w *Write, now time.Time) *Result {
	current := fleet.Revision(0)
	if n := m.tree.live(w.Path); n != nil {
		current = n.Revision
	}
	if w.Expect != current {
		return errorResult(&ConflictError{Path: w.Path, Expect: w.Expect, Current: current})
	}
	n, err := m.nextNode(w)
	if err != nil {
		return errorResult(err)
	}
	m.tree.set(n)
	m.updateHistory(n, now)
	return &Result{Revision: n.Revision}
}

// nextNode returns the node that results from the write, or the error with
// which the write is rejected.
func (m *StateMachine) nextNode(w *Write) (*node, error) {
	n := &node{Document: Document{Path: w.Path, Revision: m.tree.revision + 1, Text: w.Text}}
	if w.Delete {
		if m.tree.live(w.Path) == nil {
			return nil, &NotFoundError{Path: w.Path}
		}
		n.Text, n.Deleted = "", true
		return n, m.tree.checkDelete(w.Path)
	}
	var err error
	if n.content, err = decode(w.Path, w.Text); err != nil {
		return nil, err
	}
	if err := m.tree.checkPut(w.Path, n.content); err != nil {
		return nil, err
	}
	return n, m.tree.checkSize(w.Path, w.Text)
}

// updateHistory adds a version to the document's history, which keeps the
// newest maxVersions versions. If there are more than maxTombstones tombstones,
// it removes the oldest one and the history of the deleted document.
func (m *StateMachine) updateHistory(n *node, now time.Time) {
	versions := append(m.history[n.Path], Version{Document: n.Document, At: now})
	if len(versions) > maxVersions {
		versions = slices.Clone(versions[len(versions)-maxVersions:])
	}
	m.history[n.Path] = versions
	m.tombstones = slices.DeleteFunc(m.tombstones, func(p Path) bool { return p == n.Path })
	if !n.Deleted {
		return
	}
	m.tombstones = append(m.tombstones, n.Path)
	if len(m.tombstones) <= maxTombstones {
		return
	}
	oldest := m.tombstones[0]
	m.tombstones = slices.Clone(m.tombstones[1:])
	m.prunedRevision = m.tree.nodes[oldest].Revision
	delete(m.tree.nodes, oldest)
	delete(m.history, oldest)
}

// expire removes the records of expired operations, in the order of the log and
// up to the first operation that has not expired. It also removes the buckets
// that are full.
func (m *StateMachine) expire(now time.Time) {
	cutoff := now.Add(-OperationLifetime)
	n := 0
	for n < len(m.operations) && !m.records[m.operations[n]].Issued.After(cutoff) {
		m.expiredUntil = latest(m.expiredUntil, m.records[m.operations[n]].Issued)
		delete(m.records, m.operations[n])
		n++
	}
	if n > 0 {
		m.operations = slices.Clone(m.operations[n:])
	}
	for team, b := range m.buckets {
		if b.full(now) {
			delete(m.buckets, team)
		}
	}
}

func (m *StateMachine) bucket(p Path) *bucket {
	team := rateLimitKey(p)
	if m.buckets[team] == nil {
		m.buckets[team] = new(bucket)
	}
	return m.buckets[team]
}

// Revision returns the revision of the tree.
func (m *StateMachine) Revision() fleet.Revision { return m.tree.revision }

// Digest returns the digest of the live documents.
func (m *StateMachine) Digest() Digest { return m.tree.digest }

// Get returns a live document, or a NotFoundError.
func (m *StateMachine) Get(p Path) (Document, error) {
	n := m.tree.live(p)
	if n == nil {
		return Document{}, &NotFoundError{Path: p}
	}
	return n.Document, nil
}

// List returns the live documents at or below prefix, ordered by path.
func (m *StateMachine) List(prefix string) []Document {
	paths := m.tree.paths(prefix)
	out := make([]Document, len(paths))
	for i, p := range paths {
		out[i] = m.tree.nodes[p].Document
	}
	return out
}

// History returns the kept versions of a path, oldest first, or a
// NotFoundError.
func (m *StateMachine) History(p Path) ([]Version, error) {
	if len(m.history[p]) == 0 {
		return nil, &NotFoundError{Path: p}
	}
	return slices.Clone(m.history[p]), nil
}

// Snapshot returns the encoded state, or a DecodeError if it can't be encoded.
func (m *StateMachine) Snapshot() ([]byte, error) {
	s := snapshot{
		Revision: m.tree.revision,
		Floor:    m.prunedRevision,
		History:  m.history,
		Buckets:  make(map[fleet.TeamName]bucket, len(m.buckets)),
		Expired:  m.expiredUntil,
	}
	for _, n := range m.tree.nodes {
		s.Nodes = append(s.Nodes, n.Document)
	}
	slices.SortFunc(s.Nodes, compareDocuments)
	for _, id := range m.operations {
		s.Records = append(s.Records, *m.records[id])
	}
	for team, b := range m.buckets {
		s.Buckets[team] = *b
	}
	b, err := encoding.Marshal(&s)
	if err != nil {
		return nil, &DecodeError{Type: "Snapshot", Err: err}
	}
	return b, nil
}

// Restore replaces the state with that of a snapshot. If b is empty, the state
// machine has no documents afterwards. On a DecodeError the state is unchanged.
func (m *StateMachine) Restore(b []byte) error {
	if len(b) == 0 {
		*m = *NewStateMachine()
		return nil
	}
	var s snapshot
	if err := cbor.Unmarshal(b, &s); err != nil {
		return &DecodeError{Type: "Snapshot", Err: err}
	}
	t, err := buildTree(s.Nodes)
	if err != nil {
		return err
	}
	restored := NewStateMachine()
	restored.tree, restored.prunedRevision, restored.expiredUntil = t, s.Floor, s.Expired
	restored.tree.revision = s.Revision
	for i := range s.Records {
		rec := &s.Records[i]
		restored.records[rec.Operation] = rec
		restored.operations = append(restored.operations, rec.Operation)
	}
	for p, versions := range s.History {
		restored.history[p] = versions
	}
	for team, b := range s.Buckets {
		restored.buckets[team] = &b
	}
	restored.tombstones = tombstonesOf(s.Nodes)
	*m = *restored
	return nil
}

// buildTree decodes documents into a tree; it returns a DecodeError for a
// document that can't be decoded.
func buildTree(docs []Document) (*tree, error) {
	t := newTree()
	for _, d := range docs {
		n, err := newNode(d)
		if err != nil {
			return nil, err
		}
		t.set(n)
	}
	return t, nil
}

func newNode(d Document) (*node, error) {
	n := &node{Document: d}
	if d.Deleted {
		return n, nil
	}
	c, err := decode(d.Path, d.Text)
	if err != nil {
		return nil, &DecodeError{Type: "Document", Err: err}
	}
	n.content = c
	return n, nil
}

// tombstonesOf returns the paths of the deleted documents, lowest revision
// first.
func tombstonesOf(docs []Document) []Path {
	deleted := slices.DeleteFunc(slices.Clone(docs), func(d Document) bool { return !d.Deleted })
	slices.SortFunc(deleted, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	var out []Path
	for _, d := range deleted {
		out = append(out, d.Path)
	}
	return out
}

func errorResult(err error) *Result {
	r := ResultOf(err)
	return &r
}

// requestHash returns a hash of the write without KeyHash and Root, so that the
// same write with another key counts as a retry.
func (w *Write) requestHash() uint64 {
	withoutKey := *w
	withoutKey.KeyHash, withoutKey.Root = "", false
	return xxhash.Sum64(withoutKey.Encode())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
