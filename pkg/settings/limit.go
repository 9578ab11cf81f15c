package settings

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Limits of the settings tree.
const (
	// MaxDocumentSize is the size of one document in bytes. The document of a
	// zone with 180 entry VMs has about 20 KiB.
	MaxDocumentSize = 64 << 10
	// MaxSubtreeSize is the size of a team's documents in bytes.
	MaxSubtreeSize = 2 << 20
	// WritesPerSecond is the sustained rate of one team's writes.
	WritesPerSecond = 5
	// WriteBurst is the number of writes that a team may make at once.
	WriteBurst = 50
)

// bucket is a token bucket whose time is that of the log.
type bucket struct {
	Tokens float64   `cbor:"1,keyasint"`
	Last   time.Time `cbor:"2,keyasint"`
}

// take removes a token; it returns a LimitError where none is left. Time that
// goes back, as after a change of leader, adds nothing.
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

// full reports whether the bucket holds no information any more.
func (b *bucket) full(now time.Time) bool {
	return b.Tokens+now.Sub(b.Last).Seconds()*WritesPerSecond >= WriteBurst
}

// checkSize returns a LimitError where text would make a team's subtree too
// large.
func (t *tree) checkSize(p Path, text string) error {
	team := p.Team()
	if team == "" {
		return nil
	}
	size := t.bytes[team] + len(text)
	if old := t.live(p); old != nil {
		size -= len(old.Text)
	}
	if size > MaxSubtreeSize {
		return &LimitError{Limit: "subtree size in bytes", Value: size, Max: MaxSubtreeSize}
	}
	return nil
}

// teamOf returns the name under which a write is rate limited.
func teamOf(p Path) fleet.TeamName {
	if team := p.Team(); team != "" {
		return team
	}
	return "/"
}
