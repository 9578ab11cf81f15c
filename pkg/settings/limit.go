package settings

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Limits of the settings tree.
const (
	// MaxDocumentSize is the maximum size of one document in bytes. The
	// document of a zone with 180 entry VMs has about 20 KiB.
	MaxDocumentSize = 64 << 10
	// MaxTeamSize is the maximum total size of a team's documents in bytes.
	MaxTeamSize = 2 << 20
	// WritesPerSecond is the maximum sustained rate of writes to one team's
	// documents, or to all documents outside /Teams.
	WritesPerSecond = 5
	// WriteBurst is the maximum number of writes in one burst. It is the
	// capacity of the token bucket that enforces WritesPerSecond.
	WriteBurst = 50
)

// bucket is a token bucket that is refilled according to the timestamps of the
// log entries.
type bucket struct {
	Tokens float64   `cbor:"1,keyasint"`
	Last   time.Time `cbor:"2,keyasint"`
}

// take removes a token, or returns a LimitError if none is left. If now is
// before b.Last, as can happen after a change of leader, no tokens are added.
func (b *bucket) take(now time.Time) error {
	if b.Last.IsZero() {
		b.Tokens, b.Last = WriteBurst, now
	}
	if elapsed := now.Sub(b.Last); elapsed > 0 {
		b.Tokens = min(WriteBurst, b.Tokens+elapsed.Seconds()*WritesPerSecond)
		b.Last = now
	}
	if b.Tokens < 1 {
		return &LimitError{Limit: "writes a second", Value: WritesPerSecond + 1, Max: WritesPerSecond}
	}
	b.Tokens--
	return nil
}

// full reports whether the bucket is full at now. A full bucket needs no
// storage, since a new bucket starts full.
func (b *bucket) full(now time.Time) bool {
	return b.Tokens+now.Sub(b.Last).Seconds()*WritesPerSecond >= WriteBurst
}

// checkSize returns a LimitError if text would make a team's documents larger
// than MaxTeamSize in total. Documents outside /Teams have no total limit.
func (t *tree) checkSize(p Path, text string) error {
	team := p.Team()
	if team == "" {
		return nil
	}
	size := t.teamBytes[team] + len(text)
	if old := t.live(p); old != nil {
		size -= len(old.Text)
	}
	if size > MaxTeamSize {
		return &LimitError{Limit: "subtree size in bytes", Value: size, Max: MaxTeamSize}
	}
	return nil
}

// rateLimitKey returns the key of the token bucket for writes to a path: the
// team, or "/" for paths outside /Teams.
func rateLimitKey(p Path) fleet.TeamName {
	if team := p.Team(); team != "" {
		return team
	}
	return "/"
}
