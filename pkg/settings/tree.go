package settings

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Digest is the sum of the hashes of all live documents, so that it does
	// not depend on the order of the documents.
	Digest uint64

	// Document is one accepted document, or a tombstone if Deleted is true.
	Document struct {
		Path     Path           `json:"Path" cbor:"1,keyasint"`
		Revision fleet.Revision `json:"Revision" cbor:"2,keyasint"`
		Text     string         `json:"Text" cbor:"3,keyasint"`
		Deleted  bool           `json:"Deleted,omitempty" cbor:"4,keyasint,omitempty"`
	}

	// node is a document with its decoded content.
	node struct {
		Document
		content content
	}
)

// tree holds the documents and tombstones of one revision. Accepted writes keep
// the references between documents valid: the zones of each service and the
// service and kind of each listener exist. No two listeners share an address,
// protocol and port.
type tree struct {
	revision  fleet.Revision
	digest    Digest
	nodes     map[Path]*node
	listeners map[fleet.ListenerKey]Path
	// serviceUsers holds the paths of the listeners of each service.
	serviceUsers map[fleet.ServiceID]map[Path]bool
	// zoneUsers holds the paths of the services that list each zone.
	zoneUsers map[fleet.ZoneID]map[Path]bool
	teamBytes map[fleet.TeamName]int
}

func newTree() *tree {
	return &tree{
		nodes:        make(map[Path]*node),
		listeners:    make(map[fleet.ListenerKey]Path),
		serviceUsers: make(map[fleet.ServiceID]map[Path]bool),
		zoneUsers:    make(map[fleet.ZoneID]map[Path]bool),
		teamBytes:    make(map[fleet.TeamName]int),
	}
}

// live returns the node of the document at a path, or nil if no document
// exists there or the document is deleted.
func (t *tree) live(p Path) *node {
	n := t.nodes[p]
	if n == nil || n.Deleted {
		return nil
	}
	return n
}

// paths returns the sorted paths of all live documents at or below prefix.
func (t *tree) paths(prefix string) []Path {
	var out []Path
	for p, n := range t.nodes {
		if !n.Deleted && p.HasPrefix(prefix) {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// checkPut returns an InvalidError if the document conflicts with other
// documents or with the previous version of the document.
func (t *tree) checkPut(p Path, c content) error {
	r := &report{path: p}
	switch c := c.(type) {
	case *Listener:
		t.checkListener(r, p, c)
	case *Service:
		t.checkService(r, p, c)
	case *Zone:
		t.checkZone(r, p, c)
	}
	return r.err()
}

func (t *tree) checkListener(r *report, p Path, l *Listener) {
	key := fleet.ListenerKey{Address: l.Address, Protocol: l.Protocol}
	if other, ok := t.listeners[key]; ok && other != p {
		r.add("Address", fmt.Sprintf("%s %s is taken by another listener", l.Protocol, l.Address))
	}
	n := t.live(servicePath(p.Team(), l.Service))
	if n == nil {
		r.add("Service", fmt.Sprintf("there is no service %q in the team", l.Service))
		return
	}
	if n.content.(*Service).kind(l.Kind) == nil {
		r.add("Kind", fmt.Sprintf("the service has no kind of work %q", l.Kind))
	}
}

func (t *tree) checkService(r *report, p Path, s *Service) {
	for i, zone := range s.Zones {
		if t.live(Path("/Zones/"+string(zone))) == nil {
			r.add(fmt.Sprintf("Zones[%d]", i), fmt.Sprintf("there is no zone %q", zone))
		}
	}
	for user := range t.serviceUsers[p.Service()] {
		kind := t.nodes[user].content.(*Listener).Kind
		if s.kind(kind) == nil {
			r.add("Kinds", fmt.Sprintf("the kind of work %q is used by %s", kind, user))
		}
	}
}

// checkZone requires a higher CouncilRevision for each change of the council.
// If two councils had the same revision, leases and views of one council would
// count as those of the other.
func (t *tree) checkZone(r *report, p Path, z *Zone) {
	n := t.nodes[p]
	if n == nil || n.Deleted {
		return
	}
	old := n.content.(*Zone)
	switch {
	case z.CouncilRevision < old.CouncilRevision:
		r.add("CouncilRevision", fmt.Sprintf("must not fall below %d", old.CouncilRevision))
	case z.CouncilRevision == old.CouncilRevision && !slices.Equal(z.Council, old.Council):
		r.add("CouncilRevision", fmt.Sprintf("must be above %d where Council changes", old.CouncilRevision))
	}
}

// checkDelete returns an InvalidError if another document refers to p.
func (t *tree) checkDelete(p Path) error {
	r := &report{path: p}
	switch p.Class() {
	case ClassService:
		for _, user := range slices.Sorted(maps.Keys(t.serviceUsers[p.Service()])) {
			r.add("", fmt.Sprintf("is used by %s", user))
		}
	case ClassZone:
		for _, user := range slices.Sorted(maps.Keys(t.zoneUsers[fleet.ZoneID(p.Name())])) {
			r.add("", fmt.Sprintf("is used by %s", user))
		}
	}
	return r.err()
}

// set replaces the node at a path and updates the indexes, sizes, digest and
// revision.
func (t *tree) set(n *node) {
	if old := t.nodes[n.Path]; old != nil {
		t.updateIndex(old, false)
	}
	t.nodes[n.Path] = n
	t.updateIndex(n, true)
	t.revision = max(t.revision, n.Revision)
}

// updateIndex adds a node to the indexes, sizes and digest, or removes the node
// from them if present is false.
func (t *tree) updateIndex(n *node, present bool) {
	if n.Deleted {
		return
	}
	if present {
		t.digest += n.digest()
		t.teamBytes[n.Path.Team()] += len(n.Text)
	} else {
		t.digest -= n.digest()
		t.teamBytes[n.Path.Team()] -= len(n.Text)
	}
	switch c := n.content.(type) {
	case *Listener:
		key := fleet.ListenerKey{Address: c.Address, Protocol: c.Protocol}
		if present {
			t.listeners[key] = n.Path
		} else {
			delete(t.listeners, key)
		}
		setPresence(t.serviceUsers, serviceID(n.Path.Team(), c.Service), n.Path, present)
	case *Service:
		for _, zone := range c.Zones {
			setPresence(t.zoneUsers, zone, n.Path, present)
		}
	}
}

// setPresence adds p to the set m[key], or removes p from the set if present is
// false. An empty set is removed from m.
func setPresence[K comparable](m map[K]map[Path]bool, key K, p Path, present bool) {
	if !present {
		delete(m[key], p)
		if len(m[key]) == 0 {
			delete(m, key)
		}
		return
	}
	if m[key] == nil {
		m[key] = make(map[Path]bool)
	}
	m[key][p] = true
}

func (s *Service) kind(name fleet.KindName) *fleet.Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

func (d *Document) digest() Digest {
	h := xxhash.New()
	// Writes to the hash never fail.
	_, _ = h.WriteString(string(d.Path))
	var buf [9]byte
	binary.BigEndian.PutUint64(buf[1:], uint64(d.Revision))
	_, _ = h.Write(buf[:])
	_, _ = h.WriteString(d.Text)
	return Digest(h.Sum64())
}

// compareDocuments orders documents by path.
func compareDocuments(a, b Document) int { return strings.Compare(string(a.Path), string(b.Path)) }
