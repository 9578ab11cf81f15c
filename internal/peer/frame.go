package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// Channels of control messages; each channel carries one protocol.
const (
	Membership Channel = iota + 1
	Lease
	Spread
	Probe
	channelEnd
)

// MaxDatagram is the maximum size of a frame in bytes; it is below the usual
// MTU.
const MaxDatagram = 1400

const maxIDLength = 64

type (
	// Channel identifies the protocol of a frame.
	Channel uint8

	// Frame is the content of one datagram. Stamp is the time of the sender's
	// logical clock. The receiver passes Stamp to its own clock, so that the
	// merged time line of all processes is in causal order.
	Frame struct {
		Channel Channel        `cbor:"1,keyasint"`
		From    fleet.VMID     `cbor:"2,keyasint"`
		Stamp   timeline.Stamp `cbor:"3,keyasint"`
		Body    []byte         `cbor:"4,keyasint"`
	}

	// FrameError reports a frame that is invalid, too large, or can't be
	// encoded or decoded.
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

// Validate returns a FrameError if the channel is unknown, or if the sender's
// id is empty or too long.
func (f *Frame) Validate() error {
	if f.Channel == 0 || f.Channel >= channelEnd {
		return &FrameError{Reason: "has an unknown channel"}
	}
	if f.From == "" || len(f.From) > maxIDLength {
		return &FrameError{Reason: "has an invalid sender id"}
	}
	return nil
}

// Encode returns the datagram, or a FrameError if it is larger than
// MaxDatagram.
func (f *Frame) Encode() ([]byte, error) {
	b, err := cbor.Marshal(f)
	if err != nil {
		return nil, &FrameError{Reason: "can't be encoded", Err: err}
	}
	if len(b) > MaxDatagram {
		return nil, &FrameError{Reason: fmt.Sprintf("has %d bytes, but at most %d are allowed", len(b), MaxDatagram)}
	}
	return b, nil
}

// DecodeFrame decodes and validates a datagram, or returns a FrameError.
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
