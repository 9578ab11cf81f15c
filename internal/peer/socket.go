package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

type (
	// ReceivedFrame is a valid frame with the address that it was sent from.
	ReceivedFrame struct {
		Frame
		Address netip.AddrPort
	}

	// Counters count the datagrams and bytes of one channel.
	Counters struct {
		SentFrames, SentBytes         atomic.Uint64
		ReceivedFrames, ReceivedBytes atomic.Uint64
	}

	// SocketError reports a failed operation on a control socket or on the
	// listener of a PullServer.
	SocketError struct {
		Op  string
		Err error
	}
)

// Error names the operation.
func (e *SocketError) Error() string { return fmt.Sprintf("control socket: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// Socket sends and receives frames. Exported fields must be set before the
// first use. Several goroutines may call Send at the same time.
type Socket struct {
	Self  fleet.VMID
	Conn  *net.UDPConn
	Clock *timeline.Clock

	counters [channelEnd]Counters
	// invalid counts received datagrams that are not valid frames, failed
	// counts errors that the operating system returned, and tooLarge counts
	// frames that were too large to send or could not be encoded.
	invalid, failed, tooLarge atomic.Uint64
}

// Send sends one frame. Failures are only counted, since all protocols resend
// what is lost.
func (s *Socket) Send(to netip.AddrPort, c Channel, body []byte, now time.Time) {
	f := Frame{Channel: c, From: s.Self, Stamp: s.Clock.Now(now), Body: body}
	b, err := f.Encode()
	if err != nil {
		s.tooLarge.Add(1)
		return
	}
	if _, err := s.Conn.WriteToUDPAddrPort(b, to); err != nil {
		s.failed.Add(1)
		return
	}
	s.counters[c].SentFrames.Add(1)
	s.counters[c].SentBytes.Add(uint64(len(b)))
}

// Receive passes valid frames to deliver until ctx ends. It returns a
// SocketError if the socket is closed before ctx ends. Receive reads the system
// clock, unlike the protocol code, which takes the time as an argument so that
// it is deterministic.
func (s *Socket) Receive(ctx context.Context, deliver func(ReceivedFrame)) error {
	stop := context.AfterFunc(ctx, func() { s.Conn.Close() })
	defer stop()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &SocketError{Op: "read", Err: err}
		}
		if err != nil {
			// This may be an ICMP error for an earlier datagram; the socket
			// still works.
			s.failed.Add(1)
			continue
		}
		f, err := DecodeFrame(buf[:n])
		if err != nil {
			s.invalid.Add(1)
			continue
		}
		s.counters[f.Channel].ReceivedFrames.Add(1)
		s.counters[f.Channel].ReceivedBytes.Add(uint64(n))
		s.Clock.Observe(f.Stamp, time.Now())
		deliver(ReceivedFrame{Frame: f, Address: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())})
	}
}

// Counters returns the counters of a channel.
func (s *Socket) Counters(c Channel) *Counters { return &s.counters[c] }

// Channels returns all channels.
func Channels() []Channel { return []Channel{Membership, Lease, Spread, Probe} }

// Discarded returns the number of received datagrams that were invalid, the
// number of errors that the operating system returned, and the number of frames
// that were too large to send or could not be encoded.
func (s *Socket) Discarded() (invalid, failed, tooLarge uint64) {
	return s.invalid.Load(), s.failed.Load(), s.tooLarge.Load()
}
