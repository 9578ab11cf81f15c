package replica

// incoming is a snapshot that is being received.
type incoming struct {
	at    Position
	total uint64
	data  []byte
}

func (r *Replica) handleAppend(from Identity, m *Message) {
	prev, entries := m.At, m.Entries
	if prev.Index < r.commit {
		// Committed entries agree with any leader's log.
		skip := min(Index(len(entries)), r.commit-prev.Index)
		entries = entries[skip:]
		prev = Position{Index: prev.Index + skip, Term: r.termAt(prev.Index + skip)}
		if prev.Index < r.commit {
			r.acceptUpTo(from, m, r.commit)
			return
		}
	}
	if prev.Index > r.lastIndex() || r.termAt(prev.Index) != prev.Term {
		r.reply(from, Message{Kind: AppendReply, Reject: true, At: m.At, Hint: r.conflictHint(prev.Index), Round: m.Round})
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
		if r.fault != nil {
			return
		}
		r.appendEntry(e)
	}
	r.followConfig()
	r.acceptUpTo(from, m, prev.Index+Index(len(entries)))
}

// acceptUpTo acknowledges the log up to match, which agrees with the leader's.
func (r *Replica) acceptUpTo(from Identity, m *Message, match Index) {
	r.commit = max(r.commit, min(m.Commit, match))
	r.reply(from, Message{Kind: AppendReply, At: Position{Index: match}, Round: m.Round})
}

// conflictHint returns the last index that may match, and skips a whole term
// that conflicts at prev.
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
	if m.At.Index <= r.commit {
		r.incoming = nil
		r.acceptUpTo(from, m, r.commit)
		return
	}
	in := r.incoming
	if in == nil || in.at != m.At || in.total != m.Total {
		in = &incoming{at: m.At, total: m.Total}
		r.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == in.total {
		r.incoming = nil
		r.finishInstall(from, m, in)
		return
	}
	r.reply(from, Message{Kind: ChunkReply, At: m.At, Offset: uint64(len(in.data)), Round: m.Round})
}

// finishInstall installs a complete snapshot; a damaged one is requested anew.
func (r *Replica) finishInstall(from Identity, m *Message, in *incoming) {
	s, err := decodeSnapshot("received snapshot", in.data)
	if err != nil || s.At != in.at {
		r.reply(from, Message{Kind: ChunkReply, At: m.At, Round: m.Round})
		return
	}
	if err := r.install(s, in.data); err != nil {
		r.stop(err)
		return
	}
	r.acceptUpTo(from, m, s.At.Index)
}
