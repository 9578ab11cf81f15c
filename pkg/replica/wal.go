package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strconv"
	"strings"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/fxamacker/cbor/v2"
)

const (
	walPrefix      = "wal-"
	snapshotPrefix = "snapshot-"
	tmpSuffix      = ".tmp"

	// frameMagic marks the start of each frame, so that a scan after a damaged
	// frame can find the next one.
	frameMagic = 0xb47aa10c
	// frameHeaderSize is the size of the magic number, the payload length, the
	// sequence number and the checksum, in bytes.
	frameHeaderSize = 4 + 4 + 8 + 4
	// scanBudget is the number of bytes after which the scan for valid frames
	// after damage stops checksumming, as a multiple of the number of bytes to
	// scan.
	scanBudget = 64
	// maxFramePayload is the maximum payload size that readFrame accepts, in
	// bytes.
	maxFramePayload = 256 << 20
	// rewriteBatchBytes is the maximum total size of the entries in one frame of a
	// rewritten segment, except that a frame may always hold one entry.
	rewriteBatchBytes = 256 << 10
)

var (
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
	decMode         = mustDecMode()
)

type (
	// Identity identifies an incarnation of a replica. A replica that lost its
	// disk gets a new incarnation.
	Identity struct {
		VM          fleet.VMID        `cbor:"1,keyasint"`
		Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	}

	// Position is the index and term of a log entry.
	Position struct {
		Index Index `cbor:"1,keyasint"`
		Term  Term  `cbor:"2,keyasint"`
	}

	// hardState is the Raft state, except for the log, that must be durable
	// before any message that depends on this state is sent.
	hardState struct {
		Term Term     `cbor:"1,keyasint"`
		Vote Identity `cbor:"2,keyasint"`
	}

	// walRecord is the payload of one frame. Each sync makes one record durable, with
	// the exception of the records that a rewrite writes. Only the first record of a
	// segment has Self and Base. An entry replaces all entries of earlier records with
	// the same or a higher index.
	walRecord struct {
		Self    *Identity  `cbor:"1,keyasint,omitempty"`
		Base    *Position  `cbor:"2,keyasint,omitempty"`
		Hard    *hardState `cbor:"3,keyasint,omitempty"`
		Entries []Entry    `cbor:"4,keyasint,omitempty"`
		// Retained is the number of records after the first one that hold the retained
		// entries. They became durable together with the first. Earlier versions wrote
		// the retained entries into the first record.
		Retained uint64 `cbor:"5,keyasint,omitempty"`
	}

	// walState is the decoded content of a segment.
	walState struct {
		self Identity
		base Position
		hard hardState
		log  []Entry
		// retained is the sequence number of the last frame of the retained entries.
		retained uint64
		// tornBytes is the size of the torn tail.
		tornBytes int
	}

	// wal appends to the newest segment. Each segment is self-contained: its first
	// frames hold the identity, hard state, base and retained entries, and
	// the segment gets its final name only once these frames are durable. Older
	// segments are therefore obsolete and never read.
	wal struct {
		fs      FS
		file    File
		name    string
		number  uint64
		seq     uint64
		size    int64
		pending walRecord
		stats   *Stats
	}
)

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func appendFrame(buf []byte, seq uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, frameMagic)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint64(buf, seq)
	sum := crc32.Update(crc32.Checksum(buf[start:], castagnoliTable), castagnoliTable, payload)
	buf = binary.BigEndian.AppendUint32(buf, sum)
	return append(buf, payload...)
}

// readFrame decodes the frame at the start of data. The returned size is 0 if
// the frame is incomplete or too long, or if the magic number or the checksum
// is wrong.
func readFrame(data []byte) (seq uint64, payload []byte, size int) {
	if len(data) < frameHeaderSize || binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0
	}
	n := binary.BigEndian.Uint32(data[4:])
	if n > maxFramePayload || int(n) > len(data)-frameHeaderSize {
		return 0, nil, 0
	}
	payload = data[frameHeaderSize : frameHeaderSize+int(n)]
	sum := crc32.Update(crc32.Checksum(data[:16], castagnoliTable), castagnoliTable, payload)
	if sum != binary.BigEndian.Uint32(data[16:]) {
		return 0, nil, 0
	}
	return binary.BigEndian.Uint64(data[8:]), payload, frameHeaderSize + int(n)
}

// isSyncMarker reports whether a sequence number belongs to a sync marker, the
// empty frame that wal.sync appends after each record. The first frame has
// number 1, so later records have even numbers and sync markers odd ones.
func isSyncMarker(seq uint64) bool { return seq >= 3 && seq%2 == 1 }

// hasLaterFrame reports whether data holds a valid frame with a sequence number
// above seq. Commands may contain many bytes that look like frames. If the scan
// exceeds its budget on such bytes, hasLaterFrame returns true: reporting damage
// is safe, while dropping the data as a torn tail might lose durable entries.
func hasLaterFrame(data []byte, seq uint64) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	limit := seq + uint64(len(data)/frameHeaderSize)
	for budget := scanBudget * len(data); ; {
		i := bytes.Index(data, magic)
		if i < 0 || len(data)-i < frameHeaderSize {
			return false
		}
		data = data[i:]
		s := binary.BigEndian.Uint64(data[8:])
		if s > seq && s <= limit {
			if _, _, size := readFrame(data); size > 0 {
				return true
			}
			budget -= min(len(data), int(binary.BigEndian.Uint32(data[4:])))
		}
		if budget < 0 {
			return true
		}
		data = data[1:]
	}
}

// wasSynced reports whether the damaged frame at the start of data, with
// sequence number seq, had been durable. For a record, any valid later frame
// proves this, because it is written only after the record is synced. A sync
// marker is durable only once the next frame is synced, so only a valid frame
// after that next frame proves it.
func wasSynced(data []byte, seq uint64) bool {
	if isSyncMarker(seq) {
		seq++
	}
	return hasLaterFrame(data, seq)
}

// decodeWAL decodes a segment. It returns a CorruptError for damage to bytes
// that had been durable. Other damage is tolerated: a torn tail, whose content
// was never acknowledged, or a damaged sync marker if the only valid frame after
// it is the record directly after the marker.
func decodeWAL(name string, data []byte) (*walState, error) {
	s := &walState{}
	off := 0
	corrupt := func(reason string) error {
		return &CorruptError{File: name, Offset: int64(off), Reason: reason}
	}
	seq := uint64(1)
	for ; off < len(data); seq++ {
		got, payload, size := readFrame(data[off:])
		switch {
		case size == 0 && (seq <= s.retained && !isSyncMarker(seq) || off == 0 || wasSynced(data[off:], seq)):
			return nil, corrupt("synced frame is incomplete or has a wrong checksum")
		case size == 0 && isSyncMarker(seq) && hasLaterFrame(data[off:], seq):
			off += frameHeaderSize
			continue
		case size == 0:
			s.tornBytes = len(data) - off
			return s, nil
		case got != seq:
			return nil, corrupt(fmt.Sprintf("frame has sequence number %d, want %d", got, seq))
		}
		if len(payload) > 0 {
			if err := s.replay(payload, seq == 1); err != nil {
				return nil, corrupt(err.Error())
			}
		}
		off += size
	}
	switch {
	case off == 0:
		return nil, corrupt("segment is empty")
	case seq < s.retained:
		return nil, corrupt("retained entries are missing")
	}
	return s, nil
}

func (s *walState) replay(payload []byte, first bool) error {
	var rec walRecord
	if err := decMode.Unmarshal(payload, &rec); err != nil {
		return &DecodeError{Type: "WAL record", Err: err}
	}
	if first != (rec.Self != nil) || first != (rec.Base != nil) || first && rec.Hard == nil {
		return &InvariantError{Reason: "the first frame must hold identity, base and hard state, and no other frame may hold identity or base"}
	}
	if first {
		s.self, s.base = *rec.Self, *rec.Base
		s.retained = 1 + 2*rec.Retained
		s.log = make([]Entry, 0, len(rec.Entries))
	}
	if rec.Hard != nil {
		s.hard = *rec.Hard
	}
	for _, e := range rec.Entries {
		last := s.base.Index + Index(len(s.log))
		if e.Index <= s.base.Index || e.Index > last+1 {
			return &InvariantError{Reason: fmt.Sprintf("entry %d does not follow entry %d", e.Index, last)}
		}
		s.log = append(s.log[:e.Index-s.base.Index-1], e)
	}
	return nil
}

// dirty reports whether the pending record has to be synced.
func (w *wal) dirty() bool { return w.pending.Hard != nil || len(w.pending.Entries) > 0 }

// sync makes the pending record durable as one frame. It then appends an empty
// frame, the sync marker, without another sync. The marker lets a restart
// distinguish damage to the last synced frame from a torn tail.
func (w *wal) sync() error {
	if err := w.writeRecord(w.file, &w.pending); err != nil {
		return &DiskError{Op: "write", File: w.name, Err: err}
	}
	if err := w.file.Sync(); err != nil {
		return &DiskError{Op: "sync", File: w.name, Err: err}
	}
	if err := w.writeFrame(w.file, nil); err != nil {
		return &DiskError{Op: "write", File: w.name, Err: err}
	}
	w.stats.Syncs++
	w.stats.SyncedEntries += uint64(len(w.pending.Entries))
	w.pending = walRecord{}
	return nil
}

func encodeRecord(rec *walRecord) ([]byte, error) {
	payload, err := cbor.Marshal(rec)
	if err != nil {
		return nil, &DecodeError{Type: "WAL record", Err: err}
	}
	return payload, nil
}

// rewrite starts a new segment with the given content, discards the pending
// record, and removes the old segments.
func (w *wal) rewrite(self Identity, base Position, hard hardState, log []Entry) error {
	batches := splitEntries(log, rewriteBatchBytes)
	next := *w
	next.number, next.seq, next.size, next.pending = w.number+1, 0, 0, walRecord{}
	next.name = fileName(walPrefix, next.number)
	file, err := replaceFile(w.fs, next.name, func(f io.Writer) error {
		if err := next.writeRecord(f, &walRecord{Self: &self, Base: &base, Hard: &hard, Retained: uint64(len(batches))}); err != nil {
			return err
		}
		for _, batch := range batches {
			if err := next.writeRecord(f, &walRecord{Entries: batch}); err != nil {
				return err
			}
			if err := next.writeFrame(f, nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	w.close()
	next.file = file
	*w = next
	w.stats.SegmentsWritten++
	return removeOlderFiles(w.fs, walPrefix, w.number)
}

// splitEntries splits a log into batches of at most limit bytes of data, or of one entry.
func splitEntries(log []Entry, limit int) [][]Entry {
	var batches [][]Entry
	start, size := 0, 0
	for i := range log {
		if size += len(log[i].Data) + entryOverhead; size > limit && i > start {
			batches = append(batches, log[start:i])
			start, size = i, len(log[i].Data)+entryOverhead
		}
	}
	if start < len(log) {
		batches = append(batches, log[start:])
	}
	return batches
}

func (w *wal) writeRecord(f io.Writer, rec *walRecord) error {
	payload, err := encodeRecord(rec)
	if err != nil {
		return err
	}
	return w.writeFrame(f, payload)
}

// writeFrame writes the next frame, without a sync.
func (w *wal) writeFrame(f io.Writer, payload []byte) error {
	frame := appendFrame(make([]byte, 0, frameHeaderSize+len(payload)), w.seq+1, payload)
	if _, err := f.Write(frame); err != nil {
		return err
	}
	w.seq++
	w.size += int64(len(frame))
	return nil
}

// close closes the current segment.
func (w *wal) close() {
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
}

func fileName(prefix string, n uint64) string { return fmt.Sprintf("%s%016x", prefix, n) }

// newestNumber returns the highest number of the files with a prefix, or 0 if
// there is none.
func newestNumber(fs FS, prefix string) (uint64, error) {
	numbers, err := listFileNumbers(fs, prefix)
	if err != nil || len(numbers) == 0 {
		return 0, err
	}
	return slices.Max(numbers), nil
}

func listFileNumbers(fs FS, prefix string) ([]uint64, error) {
	names, err := fs.List()
	if err != nil {
		return nil, &DiskError{Op: "list", Err: err}
	}
	var numbers []uint64
	for _, name := range names {
		n, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 16, 64)
		if err == nil && fileName(prefix, n) == name {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// removeOlderFiles removes the files with a prefix and a number below keep.
func removeOlderFiles(fs FS, prefix string, keep uint64) error {
	numbers, err := listFileNumbers(fs, prefix)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= keep {
			continue
		}
		if err := fs.Remove(fileName(prefix, n)); err != nil {
			return &DiskError{Op: "remove", File: fileName(prefix, n), Err: err}
		}
	}
	return nil
}
