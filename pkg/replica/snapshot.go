package replica

import (
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// snapshotBlockSize is the maximum payload size, in bytes, of the frames of a
// snapshot file that hold the state. Each frame has its own checksum, so the
// offset of a CorruptError lies near the damage.
const snapshotBlockSize = 1 << 20

type (
	// snapshotMeta is the payload of the first frame of a snapshot file. At and
	// Stamp belong to the last entry that the snapshot covers. The other frames
	// hold the serialized state machine, which has Size bytes.
	snapshotMeta struct {
		At     Position `cbor:"1,keyasint"`
		Config Config   `cbor:"2,keyasint"`
		Stamp  int64    `cbor:"3,keyasint"`
		Size   uint64   `cbor:"4,keyasint"`
	}

	snapshot struct {
		snapshotMeta
		state []byte
	}
)

func encodeSnapshot(s *snapshot) ([]byte, error) {
	s.Size = uint64(len(s.state))
	meta, err := cbor.Marshal(&s.snapshotMeta)
	if err != nil {
		return nil, &DecodeError{Type: "snapshot", Err: err}
	}
	blocks := len(s.state)/snapshotBlockSize + 2
	buf := make([]byte, 0, len(s.state)+len(meta)+blocks*frameHeaderSize)
	buf = appendFrame(buf, 1, meta)
	seq := uint64(2)
	for rest := s.state; len(rest) > 0; seq++ {
		n := min(len(rest), snapshotBlockSize)
		buf = appendFrame(buf, seq, rest[:n])
		rest = rest[n:]
	}
	return buf, nil
}

// decodeSnapshot decodes a snapshot file. It returns a CorruptError for any
// damage, including missing bytes at the end: a snapshot is renamed to its final
// name only once it is durable, so a crash leaves no partly written file with
// that name.
func decodeSnapshot(name string, data []byte) (*snapshot, error) {
	// The state is a little smaller than the file.
	s := &snapshot{state: make([]byte, 0, len(data))}
	off := 0
	corrupt := func(reason string) error {
		return &CorruptError{File: name, Offset: int64(off), Reason: reason}
	}
	for seq := uint64(1); off < len(data); seq++ {
		got, payload, size := readFrame(data[off:])
		if size == 0 || got != seq {
			return nil, corrupt("frame is incomplete, out of order or has a wrong checksum")
		}
		if seq > 1 {
			s.state = append(s.state, payload...)
			off += size
			continue
		}
		if err := decMode.Unmarshal(payload, &s.snapshotMeta); err != nil {
			return nil, corrupt((&DecodeError{Type: "snapshot", Err: err}).Error())
		}
		if err := s.Config.Validate(); err != nil {
			return nil, corrupt(err.Error())
		}
		off += size
	}
	if off == 0 || uint64(len(s.state)) != s.Size {
		return nil, corrupt(fmt.Sprintf("snapshot has %d bytes of state, want %d", len(s.state), s.Size))
	}
	return s, nil
}

// storeSnapshot makes an encoded snapshot durable and removes older snapshots.
func storeSnapshot(fs FS, at Index, data []byte) error {
	f, err := replaceFile(fs, fileName(snapshotPrefix, uint64(at)), func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
	if err != nil {
		return err
	}
	f.Close()
	return removeOlderFiles(fs, snapshotPrefix, uint64(at))
}

// readSnapshot returns the newest snapshot, decoded and as stored, or nil if
// there is none.
func readSnapshot(fs FS) (*snapshot, []byte, error) {
	n, err := newestNumber(fs, snapshotPrefix)
	if err != nil || n == 0 {
		return nil, nil, err
	}
	name := fileName(snapshotPrefix, n)
	data, err := fs.ReadFile(name)
	if err != nil {
		return nil, nil, &DiskError{Op: "read", File: name, Err: err}
	}
	s, err := decodeSnapshot(name, data)
	if err == nil && uint64(s.At.Index) != n {
		err = &CorruptError{File: name, Reason: fmt.Sprintf("snapshot has index %d, which differs from the file name", s.At.Index)}
	}
	return s, data, err
}

// Bootstrap writes the first snapshot of a new cluster with the given members
// into an empty data directory. It must be called once on each initial replica,
// with the same members. A replica that lost its disk must start without
// Bootstrap, since it would otherwise vote as if it still had its log.
// Bootstrap returns a NotEmptyError if the directory holds a log, a
// fleet.FieldError or MembershipError for invalid members, and a DiskError for
// a failed file operation.
func Bootstrap(fs FS, self Identity, members []Member) error {
	n, err := newestNumber(fs, walPrefix)
	if err != nil {
		return err
	}
	if n > 0 {
		return &NotEmptyError{File: fileName(walPrefix, n)}
	}
	s := &snapshot{snapshotMeta: snapshotMeta{At: Position{Index: 1, Term: 1}, Config: Config{Members: members}}}
	if err := s.Config.Validate(); err != nil {
		return err
	}
	if m := s.Config.find(self.VM); m == nil || m.Identity != self {
		return &MembershipError{VM: self.VM, Reason: "the initial members do not include this replica"}
	}
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := storeSnapshot(fs, s.At.Index, data); err != nil {
		return err
	}
	w := &wal{fs: fs, stats: &Stats{}}
	if err := w.rewrite(self, s.At, hardState{Term: 1}, nil); err != nil {
		return err
	}
	return w.file.Close()
}

// takeSnapshot stores a snapshot of the applied state and compacts the log. It
// keeps some entries for followers that lag behind.
func (r *Replica) takeSnapshot() error {
	state, err := r.opts.StateMachine.Snapshot()
	if err != nil {
		return &DiskError{Op: "snapshot", File: "state machine", Err: err}
	}
	at := Position{Index: r.applied, Term: r.termAt(r.applied)}
	s := &snapshot{state: state}
	s.snapshotMeta = snapshotMeta{At: at, Config: r.configAt(at.Index), Stamp: r.appliedStamp}
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := storeSnapshot(r.opts.FS, at.Index, data); err != nil {
		return err
	}
	r.snap = s.snapshotMeta
	r.bytesSinceSnapshot = 0
	r.stats.Snapshots++
	r.stats.SnapshotBytes = uint64(len(data))
	if compactTo := r.compactionIndex(at.Index); compactTo > r.base.Index {
		r.compact(compactTo)
	}
	return r.wal.rewrite(r.self, r.base, r.hard, r.log)
}

// compactionIndex returns the index up to which the log is compacted after a
// snapshot at index at. The last KeepEntries entries up to at are kept. While an
// earlier snapshot is being sent, the entries after that earlier snapshot are
// also kept, since the receiver would otherwise need another snapshot at once.
// Of the entries up to at, never more than 64*KeepEntries and KeepBytes are kept.
func (r *Replica) compactionIndex(at Index) Index {
	keep := Index(r.opts.KeepEntries)
	upTo := at - min(at, keep)
	for _, p := range r.progress {
		if p.transfer != nil {
			upTo = min(upTo, p.transfer.at.Index)
		}
	}
	upTo = max(upTo, at-min(at, 64*keep))
	size := 0
	for i := at; i > max(upTo, r.base.Index); i-- {
		if size += len(r.entry(i).Data) + entryOverhead; size > r.opts.KeepBytes {
			return i
		}
	}
	return upTo
}

// compact removes the entries up to and including index.
func (r *Replica) compact(index Index) {
	base := Position{Index: index, Term: r.termAt(index)}
	r.log = append([]Entry(nil), r.log[index-r.base.Index:]...)
	r.base = base
	for len(r.configs) > 1 && r.configs[1].index <= r.snap.At.Index {
		r.configs = r.configs[1:]
	}
}

// installSnapshot replaces the log and the state by a received snapshot.
// Entries after the snapshot are kept only if the log holds, at the index of
// the snapshot, an entry with the term of the snapshot.
func (r *Replica) installSnapshot(s *snapshot, data []byte) error {
	if err := storeSnapshot(r.opts.FS, s.At.Index, data); err != nil {
		return err
	}
	var rest []Entry
	if s.At.Index <= r.lastIndex() && r.termAt(s.At.Index) == s.At.Term {
		rest = append(rest, r.log[s.At.Index-r.base.Index:]...)
	}
	r.log, r.base, r.snap = rest, s.At, s.snapshotMeta
	if err := r.wal.rewrite(r.self, r.base, r.hard, r.log); err != nil {
		return err
	}
	if err := r.opts.StateMachine.Restore(s.state); err != nil {
		return &DiskError{Op: "restore", File: fileName(snapshotPrefix, uint64(s.At.Index)), Err: err}
	}
	r.commit, r.applied, r.appliedStamp = s.At.Index, s.At.Index, s.Stamp
	r.bytesSinceSnapshot = 0
	r.countUnapplied()
	r.stats.SnapshotsInstalled++
	r.rebuildConfigs()
	return nil
}

func timeFromStamp(ns int64) time.Time { return time.Unix(0, ns).UTC() }
