package catalog

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxZoneName is the maximum length of a zone name in bytes. It bounds the size of
// log entries and of feed messages.
const maxZoneName = 128

type (
	// ZoneRevision counts the zone orders that have changed something. It is the
	// same on all replicas of the log.
	ZoneRevision uint64

	// ZoneOrder is an operator's command to evacuate or to restore a zone. New flows
	// don't go to the targets of an evacuated zone.
	ZoneOrder struct {
		Zone     fleet.ZoneID `cbor:"1,keyasint"`
		Evacuate bool         `cbor:"2,keyasint,omitempty"`
	}

	// Zones holds the zone orders in force. It must not be modified.
	//
	// Invariant: both lists are sorted by zone, and no zone is in both.
	Zones struct {
		Revision  ZoneRevision   `cbor:"1,keyasint"`
		Evacuated []fleet.ZoneID `cbor:"2,keyasint,omitempty"`
		// Restored holds the zones that have been evacuated before.
		Restored []RestoredZone `cbor:"3,keyasint,omitempty"`
	}

	// RestoredZone records the last restore of a zone and its revision.
	RestoredZone struct {
		Zone     fleet.ZoneID `cbor:"1,keyasint"`
		Revision ZoneRevision `cbor:"2,keyasint"`
	}

	// ZoneResult is the result of a zone order in the log.
	ZoneResult struct {
		// Revision is the revision of the zones after the order. Changed is set if
		// the order has changed them, and not set if it repeats the last order of the
		// zone.
		Revision ZoneRevision `cbor:"1,keyasint"`
		Changed  bool         `cbor:"2,keyasint,omitempty"`
	}
)

// Validate returns a fleet.FieldError if the name of the zone is empty, too long or
// not printable.
func (o *ZoneOrder) Validate() error { return validateZone("ZoneOrder", o.Zone) }

func validateZone(typ string, zone fleet.ZoneID) error {
	reason := ""
	switch {
	case zone == "":
		reason = "must not be empty"
	case len(zone) > maxZoneName:
		reason = fmt.Sprintf("has %d bytes, at most %d are allowed", len(zone), maxZoneName)
	case !utf8.ValidString(string(zone)) || strings.ContainsFunc(string(zone), func(r rune) bool { return !unicode.IsPrint(r) }):
		reason = fmt.Sprintf("%q must have printable characters only", zone)
	default:
		return nil
	}
	return &fleet.FieldError{Type: typ, Field: "Zone", Reason: reason}
}

// Encode returns the order as a command of the replicated log. It returns the error
// of Validate, or a DecodeError if the order can't be encoded.
func (o *ZoneOrder) Encode() ([]byte, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return encode(&entry{Order: o})
}

// DecodeZoneResult decodes the result of a zone order. It returns a DecodeError for
// malformed data.
func DecodeZoneResult(b []byte) (ZoneResult, error) {
	var r ZoneResult
	if err := cbor.Unmarshal(b, &r); err != nil {
		return ZoneResult{}, &DecodeError{Err: err}
	}
	return r, nil
}

// Validate returns a fleet.FieldError if the lists violate the invariant of Zones.
func (z *Zones) Validate() error {
	seen := make(map[fleet.ZoneID]bool)
	for _, zone := range z.Evacuated {
		if err := validateZone("Zones", zone); err != nil {
			return err
		}
		seen[zone] = true
	}
	for _, r := range z.Restored {
		if err := validateZone("Zones", r.Zone); err != nil {
			return err
		}
		if r.Revision > z.Revision || seen[r.Zone] {
			return &fleet.FieldError{Type: "Zones", Field: "Restored", Reason: fmt.Sprintf("zone %q is evacuated or restored later than revision %d", r.Zone, z.Revision)}
		}
	}
	sorted := slices.IsSorted(z.Evacuated) && slices.IsSortedFunc(z.Restored, compareRestored)
	if !sorted {
		return &fleet.FieldError{Type: "Zones", Field: "Evacuated", Reason: "and Restored must be sorted"}
	}
	return nil
}

func compareRestored(a, b RestoredZone) int { return strings.Compare(string(a.Zone), string(b.Zone)) }

// Has reports whether there was an order for the zone.
func (z *Zones) Has(zone fleet.ZoneID) bool {
	return slices.Contains(z.Evacuated, zone) || z.RestoredAt(zone) > 0
}

// RestoredAt returns the revision of the last restore of a zone, or 0 if the zone
// is evacuated or has never been evacuated.
func (z *Zones) RestoredAt(zone fleet.ZoneID) ZoneRevision {
	for _, r := range z.Restored {
		if r.Zone == zone {
			return r.Revision
		}
	}
	return 0
}

// apply returns the zones after an order, and whether the order changes them. A
// restore of a zone that is not evacuated changes nothing.
func (z *Zones) apply(o *ZoneOrder) (Zones, bool) {
	i, evacuated := slices.BinarySearch(z.Evacuated, o.Zone)
	if evacuated == o.Evacuate {
		return *z, false
	}
	// Empty lists are nil, as after decoding, so that the zones of replicas compare as
	// equal.
	next := Zones{Revision: z.Revision + 1}
	for _, r := range z.Restored {
		if r.Zone != o.Zone {
			next.Restored = append(next.Restored, r)
		}
	}
	if o.Evacuate {
		next.Evacuated = slices.Insert(slices.Clone(z.Evacuated), i, o.Zone)
		return next, true
	}
	next.Evacuated = append(next.Evacuated, z.Evacuated[:i]...)
	next.Evacuated = append(next.Evacuated, z.Evacuated[i+1:]...)
	next.Restored = append(next.Restored, RestoredZone{o.Zone, next.Revision})
	slices.SortFunc(next.Restored, compareRestored)
	return next, true
}
