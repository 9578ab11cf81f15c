package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// Channels of control messages; each is one protocol.
const (
	Membership Channel = iota + 1
	Lease
	Spread
	Probe
	channels
)

// MaxDatagram is the largest frame in bytes, below the usual MTU.
const MaxDatagram = 1400

const maxNameLength = 64

type (
	// Channel names the protocol of a frame.
	Channel uint8

	// Frame is one datagram. Stamp carries the sender's clock, so that the
	// time line of all processes is causal.
	Frame struct {
		Channel Channel        `cbor:"1,keyasint"`
		From    fleet.VMID     `cbor:"2,keyasint"`
		Stamp   timeline.Stamp `cbor:"3,keyasint"`
		Body    []byte         `cbor:"4,keyasint"`
	}

	// FrameError reports a datagram that is no valid frame.
	FrameError struct {
		Reason string
		Err    error
	}
)

// String returns the channel's name.
func (c Channel) String() string {
	switch c {
	case Membership:
		return "Membership"
	case Lease:
		return "Lease"
	case Spread:
		return "Spread"
	case Probe:
		return "Probe"
	}
	return fmt.Sprintf("Channel(%d)", uint8(c))
}

// Error names the reason.
func (e *FrameError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("control frame: %s: %v", e.Reason, e.Err)
	}
	return "control frame: " + e.Reason
}

// Unwrap returns the cause, if any.
func (e *FrameError) Unwrap() error { return e.Err }

// Validate returns a FrameError for a channel or sender that can't be.
func (f *Frame) Validate() error {
	if f.Channel == 0 || f.Channel >= channels {
		return &FrameError{Reason: "has an unknown channel"}
	}
	if f.From == "" || len(f.From) > maxNameLength {
		return &FrameError{Reason: "has no valid sender"}
	}
	return nil
}

// Encode returns the datagram; it returns a FrameError for one that is too
// large.
func (f *Frame) Encode() ([]byte, error) {
	b, err := cbor.Marshal(f)
	if err != nil {
		return nil, &FrameError{Reason: "can't be encoded", Err: err}
	}
	if len(b) > MaxDatagram {
		return nil, &FrameError{Reason: fmt.Sprintf("has %d bytes, at most %d are allowed", len(b), MaxDatagram)}
	}
	return b, nil
}

// DecodeFrame decodes and checks a datagram; it returns a FrameError.
func DecodeFrame(b []byte) (Frame, error) {
	var f Frame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Frame{}, &FrameError{Reason: "can't be decoded", Err: err}
	}
	if err := f.Validate(); err != nil {
		return Frame{}, err
	}
	return f, nil
}
