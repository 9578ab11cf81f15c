package replica

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	at    Position
	total uint64
	data  []byte
}

func (r *Replica) handleAppend(from Identity, m *Message) {
	prev, entries := m.Position, m.Entries
	if prev.Index < r.commit {
		// Committed entries match the log of every leader, so they are skipped.
		skip := min(Index(len(entries)), r.commit-prev.Index)
		entries = entries[skip:]
		prev = Position{Index: prev.Index + skip, Term: r.termAt(prev.Index + skip)}
		if prev.Index < r.commit {
			r.acknowledgeUpTo(from, m, r.commit)
			return
		}
	}
	if prev.Index > r.lastIndex() || r.termAt(prev.Index) != prev.Term {
		r.reply(from, Message{Kind: AppendReply, Reject: true, Position: m.Position, ConflictHint: r.conflictHint(prev.Index), Round: m.Round})
		return
	}
	for i := range entries {
		e := entries[i]
		if e.Index <= r.lastIndex() && r.termAt(e.Index) == e.Term {
			continue
		}
		if e.Index <= r.lastIndex() {
			r.truncate(e.Index)
		}
		if r.stopErr != nil {
			return
		}
		r.appendEntry(e)
	}
	r.updateRole()
	r.acknowledgeUpTo(from, m, prev.Index+Index(len(entries)))
}

// acknowledgeUpTo acknowledges the entries up to match, which are the same as in
// the leader's log, and advances the commit index.
func (r *Replica) acknowledgeUpTo(from Identity, m *Message, match Index) {
	r.commit = max(r.commit, min(m.Commit, match))
	r.reply(from, Message{Kind: AppendReply, Position: Position{Index: match}, Round: m.Round})
}

// conflictHint returns the last index at which the log may match the leader's
// log, after a conflict at prev. If the log ends before prev, the result is the
// last index of the log. Otherwise, it is the index of the last entry before
// prev whose term differs from that of the entry at prev, or the commit index
// if that is higher.
func (r *Replica) conflictHint(prev Index) Index {
	if prev > r.lastIndex() {
		return r.lastIndex()
	}
	term := r.termAt(prev)
	hint := prev - 1
	for hint > r.commit && r.termAt(hint) == term {
		hint--
	}
	return hint
}

func (r *Replica) handleChunk(from Identity, m *Message) {
	if m.Position.Index <= r.commit {
		r.incoming = nil
		r.acknowledgeUpTo(from, m, r.commit)
		return
	}
	if limit := r.opts.Memory / maxSnapshotPart; m.Total > uint64(limit) {
		r.stop(&TooLargeError{Size: int(m.Total), Limit: limit})
		return
	}
	in := r.incoming
	if in == nil || in.at != m.Position || in.total != m.Total {
		in = &incomingSnapshot{at: m.Position, total: m.Total, data: make([]byte, 0, m.Total)}
		r.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == in.total {
		r.incoming = nil
		r.installReceived(from, m, in)
		return
	}
	r.reply(from, Message{Kind: SnapshotChunkReply, Position: m.Position, Offset: uint64(len(in.data)), Round: m.Round})
}

// installReceived installs a completely received snapshot. If the snapshot is
// damaged, the reply requests it again from offset 0.
func (r *Replica) installReceived(from Identity, m *Message, in *incomingSnapshot) {
	s, err := decodeSnapshot("received snapshot", in.data)
	if err != nil || s.At != in.at {
		r.reply(from, Message{Kind: SnapshotChunkReply, Position: m.Position, Round: m.Round})
		return
	}
	if err := r.installSnapshot(s, in.data); err != nil {
		r.stop(err)
		return
	}
	r.acknowledgeUpTo(from, m, s.At.Index)
}
