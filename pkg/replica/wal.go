package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
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

	// frameMagic starts each frame, so that a scan behind a damaged frame
	// finds the next one.
	frameMagic = 0xb47aa10c
	// A frame header is magic, length, sequence and checksum.
	frameHeader = 4 + 4 + 8 + 4
	// maxFrame bounds the payload that a decoder accepts.
	maxFrame = 256 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decMode    = mustDecMode()
)

type (
	// Identity is one life of one replica; a replica that lost its disk has a
	// new incarnation.
	Identity struct {
		VM          fleet.VMID        `cbor:"1,keyasint"`
		Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	}

	// Position is an entry's place in the log.
	Position struct {
		Index Index `cbor:"1,keyasint"`
		Term  Term  `cbor:"2,keyasint"`
	}

	// hardState must be durable before any reply that depends on it.
	hardState struct {
		Term Term     `cbor:"1,keyasint"`
		Vote Identity `cbor:"2,keyasint"`
	}

	// walBatch is the payload of one frame: everything that one sync makes
	// durable. Self and Base stand in the first frame of a segment only. An
	// entry replaces all entries from its index on.
	walBatch struct {
		Self    *Identity  `cbor:"1,keyasint,omitempty"`
		Base    *Position  `cbor:"2,keyasint,omitempty"`
		Hard    *hardState `cbor:"3,keyasint,omitempty"`
		Entries []Entry    `cbor:"4,keyasint,omitempty"`
	}

	// walState is the content of a segment.
	walState struct {
		self Identity
		base Position
		hard hardState
		log  []Entry
		// torn is the size of a torn tail, in bytes.
		torn int
	}

	// wal appends to the newest segment. Each segment is complete by itself:
	// its first frame holds identity, hard state, base and retained entries,
	// and it gets its final name only once that frame is durable. Older
	// segments are therefore obsolete and are never read.
	wal struct {
		fs     FS
		file   File
		name   string
		number uint64
		seq    uint64
		size   int64
		batch  walBatch
		stats  *Stats
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
	sum := crc32.Update(crc32.Checksum(buf[start:], castagnoli), castagnoli, payload)
	buf = binary.BigEndian.AppendUint32(buf, sum)
	return append(buf, payload...)
}

// readFrame decodes the frame at the start of data; size is 0 for a frame
// that is incomplete or fails its checksum.
func readFrame(data []byte) (seq uint64, payload []byte, size int) {
	if len(data) < frameHeader || binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0
	}
	n := binary.BigEndian.Uint32(data[4:])
	if n > maxFrame || int(n) > len(data)-frameHeader {
		return 0, nil, 0
	}
	payload = data[frameHeader : frameHeader+int(n)]
	sum := crc32.Update(crc32.Checksum(data[:16], castagnoli), castagnoli, payload)
	if sum != binary.BigEndian.Uint32(data[16:]) {
		return 0, nil, 0
	}
	return binary.BigEndian.Uint64(data[8:]), payload, frameHeader + int(n)
}

// isMark reports whether a sequence belongs to a mark, the empty frame that
// wal.sync appends behind each synced frame.
func isMark(seq uint64) bool { return seq >= 3 && seq%2 == 1 }

// laterFrame reports whether data holds a valid frame with a sequence above
// seq.
func laterFrame(data []byte, seq uint64) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		if s, _, size := readFrame(data[i:]); size > 0 && s > seq {
			return true
		}
		data = data[i+1:]
	}
}

// wasSynced reports whether the damaged frame with this sequence at the start
// of data had been durable. Any valid frame behind it proves that, except that
// a mark becomes durable only with the frame behind it.
func wasSynced(data []byte, seq uint64) bool {
	if isMark(seq) {
		seq++
	}
	return laterFrame(data, seq)
}

// decodeWAL replays a segment. Damage to bytes that had been durable is a
// CorruptError. Other damage is a torn tail, which was never acknowledged, or
// a torn mark before the last frame.
func decodeWAL(name string, data []byte) (*walState, error) {
	s := &walState{}
	off := 0
	for seq := uint64(1); off < len(data); seq++ {
		got, payload, size := readFrame(data[off:])
		corrupt := func(reason string) error {
			return &CorruptError{File: name, Offset: int64(off), Reason: reason}
		}
		switch {
		case size == 0 && (off == 0 || wasSynced(data[off:], seq)):
			return nil, corrupt("checksum mismatch in a synced frame")
		case size == 0 && isMark(seq) && laterFrame(data[off:], seq):
			off += frameHeader
			continue
		case size == 0:
			s.torn = len(data) - off
			return s, nil
		case got != seq:
			return nil, corrupt(fmt.Sprintf("frame sequence is %d, want %d", got, seq))
		}
		if len(payload) > 0 {
			if err := s.replay(payload, seq == 1); err != nil {
				return nil, corrupt(err.Error())
			}
		}
		off += size
	}
	if off == 0 {
		return nil, &CorruptError{File: name, Reason: "segment is empty"}
	}
	return s, nil
}

func (s *walState) replay(payload []byte, first bool) error {
	var b walBatch
	if err := decMode.Unmarshal(payload, &b); err != nil {
		return &DecodeError{What: "WAL record", Err: err}
	}
	if first != (b.Self != nil) || first != (b.Base != nil) || first && b.Hard == nil {
		return &InvariantError{Reason: "identity, base and hard state must stand in the first frame"}
	}
	if first {
		s.self, s.base = *b.Self, *b.Base
	}
	if b.Hard != nil {
		s.hard = *b.Hard
	}
	for _, e := range b.Entries {
		last := s.base.Index + Index(len(s.log))
		if e.Index <= s.base.Index || e.Index > last+1 {
			return &InvariantError{Reason: fmt.Sprintf("entry %d does not follow entry %d", e.Index, last)}
		}
		s.log = append(s.log[:e.Index-s.base.Index-1], e)
	}
	return nil
}

// dirty reports whether something waits for a sync.
func (w *wal) dirty() bool { return w.batch.Hard != nil || len(w.batch.Entries) > 0 }

// sync makes the batch durable as one frame. The empty frame behind it is not
// synced itself; it lets a restart tell damage to the last synced frame from
// a torn tail.
func (w *wal) sync() error {
	payload, err := cbor.Marshal(&w.batch)
	if err != nil {
		return &DecodeError{What: "WAL record", Err: err}
	}
	frame := appendFrame(nil, w.seq+1, payload)
	if _, err := w.file.Write(frame); err != nil {
		return &DiskError{Op: "write", File: w.name, Err: err}
	}
	if err := w.file.Sync(); err != nil {
		return &DiskError{Op: "sync", File: w.name, Err: err}
	}
	mark := appendFrame(nil, w.seq+2, nil)
	if _, err := w.file.Write(mark); err != nil {
		return &DiskError{Op: "write", File: w.name, Err: err}
	}
	w.stats.Syncs++
	w.stats.SyncedEntries += uint64(len(w.batch.Entries))
	w.batch = walBatch{}
	w.seq += 2
	w.size += int64(len(frame) + len(mark))
	return nil
}

// rewrite starts a new segment with the given content, which replaces the
// pending batch, and removes the old segments.
func (w *wal) rewrite(self Identity, base Position, hard hardState, log []Entry) error {
	payload, err := cbor.Marshal(&walBatch{Self: &self, Base: &base, Hard: &hard, Entries: log})
	if err != nil {
		return &DecodeError{What: "WAL record", Err: err}
	}
	name := fileName(walPrefix, w.number+1)
	frame := appendFrame(nil, 1, payload)
	file, err := replaceFile(w.fs, name, frame)
	if err != nil {
		return err
	}
	if w.file != nil {
		w.file.Close()
	}
	w.file, w.name, w.number, w.seq, w.size = file, name, w.number+1, 1, int64(len(frame))
	w.batch = walBatch{}
	w.stats.Segments++
	return removeOld(w.fs, walPrefix, w.number)
}

func fileName(prefix string, n uint64) string { return fmt.Sprintf("%s%016x", prefix, n) }

// newest returns the highest number of the files with a prefix, or 0.
func newest(fs FS, prefix string) (uint64, error) {
	numbers, err := listNumbers(fs, prefix)
	if err != nil || len(numbers) == 0 {
		return 0, err
	}
	return slices.Max(numbers), nil
}

func listNumbers(fs FS, prefix string) ([]uint64, error) {
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

// removeOld removes the files with a prefix and a number below keep.
func removeOld(fs FS, prefix string, keep uint64) error {
	numbers, err := listNumbers(fs, prefix)
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
