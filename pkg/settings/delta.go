package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Delta turns the documents of any revision between From and To into those
	// of revision To. A Full delta replaces all documents.
	Delta struct {
		From      fleet.Revision `cbor:"1,keyasint"`
		To        fleet.Revision `cbor:"2,keyasint"`
		Full      bool           `cbor:"3,keyasint"`
		Documents []Document     `cbor:"4,keyasint"`
		// Digest is the digest of the documents of revision To.
		Digest Digest `cbor:"5,keyasint"`
	}

	// DigestError reports a delta after which the documents would differ from
	// the sender's.
	DigestError struct {
		Got  Digest
		Want Digest
	}

	// RevisionError reports a delta that is not full and whose From is above
	// the revision of the Store, or a delta whose revisions contradict each
	// other.
	RevisionError struct {
		Applied fleet.Revision
		From    fleet.Revision
		To      fleet.Revision
	}
)

// Error names both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("documents have digest %x, but the sender's have %x", uint64(e.Got), uint64(e.Want))
}

// Error names the revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d does not fit the applied revision %d", e.From, e.To, e.Applied)
}

// Validate checks the revisions and paths of a delta; it returns a
// RevisionError or a PathError.
func (d *Delta) Validate() error {
	if d.From > d.To {
		return &RevisionError{From: d.From, To: d.To}
	}
	for i := range d.Documents {
		doc := &d.Documents[i]
		if _, err := ParsePath(string(doc.Path)); err != nil {
			return err
		}
		if doc.Revision > d.To {
			return &RevisionError{From: d.From, To: doc.Revision}
		}
	}
	return nil
}

// Encode returns the encoded delta.
func (d *Delta) Encode() []byte { return mustMarshal(d) }

// DecodeDelta decodes and validates a delta, or returns a DecodeError.
func DecodeDelta(b []byte) (*Delta, error) {
	d := new(Delta)
	if err := cbor.Unmarshal(b, d); err != nil {
		return nil, &DecodeError{Type: "Delta", Err: err}
	}
	if err := d.Validate(); err != nil {
		return nil, &DecodeError{Type: "Delta", Err: err}
	}
	return d, nil
}

// Delta returns the changes from a revision to the current one. The delta is
// full if from is 0, is above the current revision, or is so old that
// tombstones of later deletions have been removed.
func (m *StateMachine) Delta(from fleet.Revision) *Delta { return m.tree.delta(from, m.prunedRevision) }

func (t *tree) delta(from, prunedRevision fleet.Revision) *Delta {
	d := &Delta{From: from, To: t.revision, Digest: t.digest}
	if from == 0 || from < prunedRevision || from > t.revision {
		d.Full, d.From = true, 0
	}
	for _, n := range t.nodes {
		if n.Revision > d.From && !(d.Full && n.Deleted) {
			d.Documents = append(d.Documents, n.Document)
		}
	}
	slices.SortFunc(d.Documents, compareDocuments)
	return d
}

// Store is an entry VM's copy of the documents. A Store must be used by one
// goroutine at a time, but the values that Config returns are immutable and
// may be shared. The revision of a Store never decreases.
type Store struct {
	tree           *tree
	prunedRevision fleet.Revision
	config         *Config
}

// NewStore returns a store without documents, at revision 0.
func NewStore() *Store {
	t := newTree()
	return &Store{tree: t, config: compile(t)}
}

// Revision returns the applied revision.
func (s *Store) Revision() fleet.Revision { return s.tree.revision }

// Digest returns the digest of the applied documents.
func (s *Store) Digest() Digest { return s.tree.digest }

// Config returns the immutable configuration of the applied revision.
func (s *Store) Config() *Config { return s.config }

// Delta returns the changes from a revision to the applied one, for a peer. The
// delta is full in the same cases as that of StateMachine.Delta, and also if from
// is below the revision of the last full delta that was applied, because a full
// delta contains no tombstones.
func (s *Store) Delta(from fleet.Revision) *Delta { return s.tree.delta(from, s.prunedRevision) }

// Apply applies a delta, which brings the store to revision d.To. It returns
// false if the store is already at that revision or a higher one. On a
// RevisionError, DigestError or DecodeError the store is unchanged, and the
// caller should request a full delta.
func (s *Store) Apply(d *Delta) (bool, error) {
	if d.To <= s.tree.revision {
		return false, nil
	}
	if !d.Full && d.From > s.tree.revision {
		return false, &RevisionError{Applied: s.tree.revision, From: d.From, To: d.To}
	}
	next := newTree()
	if !d.Full {
		next = s.tree.clone()
	}
	for _, doc := range d.Documents {
		if old := next.nodes[doc.Path]; old != nil && old.Revision >= doc.Revision {
			continue
		}
		n, err := newNode(doc)
		if err != nil {
			return false, err
		}
		next.set(n)
	}
	if next.digest != d.Digest {
		return false, &DigestError{Got: next.digest, Want: d.Digest}
	}
	next.revision = d.To
	if d.Full {
		s.prunedRevision = d.To
	}
	s.prunedRevision = max(s.prunedRevision, next.pruneTombstones())
	s.tree = next
	s.config = compile(next)
	return true, nil
}

// clone returns a copy of the tree. The copy shares the nodes, which are
// immutable.
func (t *tree) clone() *tree {
	c := newTree()
	c.revision = t.revision
	c.digest = t.digest
	c.nodes = maps.Clone(t.nodes)
	c.listeners = maps.Clone(t.listeners)
	c.teamBytes = maps.Clone(t.teamBytes)
	for id, users := range t.serviceUsers {
		c.serviceUsers[id] = maps.Clone(users)
	}
	for id, users := range t.zoneUsers {
		c.zoneUsers[id] = maps.Clone(users)
	}
	return c
}

// pruneTombstones removes the oldest tombstones until at most maxTombstones are
// left. It returns the highest revision of a removed tombstone, or 0 if none
// was removed.
func (t *tree) pruneTombstones() fleet.Revision {
	if len(t.nodes) <= maxTombstones {
		return 0
	}
	docs := make([]Document, 0, len(t.nodes))
	for _, n := range t.nodes {
		docs = append(docs, n.Document)
	}
	paths := tombstonesOf(docs)
	floor := fleet.Revision(0)
	for len(paths) > maxTombstones {
		floor = t.nodes[paths[0]].Revision
		delete(t.nodes, paths[0])
		paths = paths[1:]
	}
	return floor
}
