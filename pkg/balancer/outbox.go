package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// minResendDelay is the delay before an unacknowledged message is sent for
	// the second time. The delay doubles with each repetition, up to
	// maxResendDelay.
	minResendDelay = 200 * time.Millisecond
	maxResendDelay = 2 * time.Second
	// maxTries limits how often a message is sent. The message is discarded
	// about 15 s after it was first sent.
	maxTries = 10
	// maxOutbox limits the number of messages in the outbox, including those
	// sent but not yet acknowledged. Further messages are discarded.
	maxOutbox = 8192
)

type (
	// outbox holds control messages until they are acknowledged. tokens and
	// lastRefill form a token bucket that limits the bytes sent per second to
	// rate.
	outbox struct {
		messages   []outMessage
		bytes      int // total size of messages not sent yet
		seq        uint64
		rate       fleet.BytesPerSecond
		tokens     float64
		lastRefill time.Time
	}

	outMessage struct {
		to       fleet.VMID
		seq      uint64
		body     []byte
		due      time.Time
		tries    int
		transfer *outgoingHandover
		history  bool
	}
)

// send adds a message to the outbox, or discards it if the outbox is full.
func (b *Balancer) send(to fleet.VMID, m controlMessage, t *outgoingHandover, now time.Time) {
	o := &b.outbox
	if len(o.messages) >= maxOutbox {
		return
	}
	o.seq++
	body := encodeControl(m, o.seq)
	o.bytes += len(body)
	_, history := m.(*historyMessage)
	o.messages = append(o.messages, outMessage{to: to, seq: o.seq, body: body, due: now, transfer: t, history: history})
}

// removeTransfer removes the messages of a transfer that starts again.
func (o *outbox) removeTransfer(t *outgoingHandover) {
	o.filter(func(m *outMessage) bool { return m.transfer != t })
}

func (o *outbox) filter(keep func(m *outMessage) bool) {
	kept := o.messages[:0]
	for i := range o.messages {
		m := &o.messages[i]
		if keep(m) {
			kept = append(kept, *m)
		} else if m.tries == 0 {
			o.bytes -= len(m.body)
		}
	}
	clear(o.messages[len(kept):])
	o.messages = kept
}

// sendOutbox appends to out the messages that are due, as far as the rate limit
// allows. It removes messages that were sent maxTries times without an
// acknowledgement.
func (b *Balancer) sendOutbox(now time.Time, out []Action) []Action {
	o := &b.outbox
	o.refill(now)
	if len(o.messages) == 0 {
		return out
	}
	exhausted := false
	for i := range o.messages {
		m := &o.messages[i]
		if now.Before(m.due) {
			continue
		}
		if m.tries >= maxTries {
			exhausted = true
			continue
		}
		if o.tokens < 0 {
			break
		}
		out = b.transmit(m, now, out)
	}
	if exhausted {
		o.filter(func(m *outMessage) bool { return m.tries < maxTries })
	}
	return out
}

func (b *Balancer) transmit(m *outMessage, now time.Time, out []Action) []Action {
	if m.tries == 0 {
		b.outbox.bytes -= len(m.body)
	}
	wait := min(minResendDelay<<m.tries, maxResendDelay)
	m.tries++
	m.due = now.Add(wait)
	b.outbox.tokens -= float64(len(m.body))
	b.stats.ControlMessages++
	b.stats.ControlBytes += uint64(len(m.body))
	return append(out, Action{Op: Control, Peer: m.to, Payload: m.body})
}

// refill adds tokens for the time since the last refill. The bucket holds the
// tokens of at most 250 ms.
func (o *outbox) refill(now time.Time) {
	if !o.lastRefill.IsZero() {
		o.tokens += now.Sub(o.lastRefill).Seconds() * float64(o.rate)
	}
	o.tokens = min(o.tokens, float64(o.rate)/4)
	o.lastRefill = now
}

// handleAck removes an acknowledged message from the outbox.
func (b *Balancer) handleAck(from fleet.VMID, seq uint64) {
	var found *outMessage
	b.outbox.filter(func(m *outMessage) bool {
		if m.seq != seq || m.to != from {
			return true
		}
		c := *m
		found = &c
		return false
	})
	if found == nil {
		return
	}
	if found.history {
		b.historyAcked(from)
	}
	if found.transfer != nil {
		b.handoverAcked(found.transfer)
	}
}
