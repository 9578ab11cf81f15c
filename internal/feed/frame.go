package feed

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	frameHeader = 4
	// compressed is set in the header of a compressed frame; the other bits are
	// its length.
	compressed = 1 << 31
	// minCompressed is the size in bytes from which a message is compressed.
	minCompressed = 2 << 10
	// pieceSize is the part of a frame in bytes that must pass within
	// SilenceLimit: links of entry VMs carry ten times as much.
	pieceSize = 16 << 10
)

type (
	// message is a type that travels over a feed.
	message interface{ Validate() error }

	// steadyConn fails where no piece of a frame passes for SilenceLimit, however
	// long the whole frame takes.
	steadyConn struct{ net.Conn }
)

// compressors are reused, since each takes some 100 KB and more.
var compressors = sync.Pool{New: func() any {
	// The level is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Read reads at least one byte within SilenceLimit.
func (c steadyConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes b piece by piece.
func (c steadyConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := c.SetWriteDeadline(time.Now().Add(SilenceLimit)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+pieceSize, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// encode returns a message with its length in front.
func encode(m message) ([]byte, error) {
	fail := func(reason string, err error) ([]byte, error) {
		return nil, &MessageError{Type: fmt.Sprintf("%T", m), Reason: reason, Err: err}
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return fail("can't be encoded", err)
	}
	if len(body) > maxFrame {
		return fail(fmt.Sprintf("has %d bytes, at most %d are allowed", len(body), maxFrame), nil)
	}
	flag := uint32(0)
	if len(body) >= minCompressed {
		if body, err = compress(body); err != nil {
			return fail("can't be compressed", err)
		}
		flag = compressed
	}
	frame := make([]byte, 0, frameHeader+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body))|flag)
	return append(frame, body...), nil
}

func compress(body []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// read reads and checks one message.
func read(r io.Reader, m message) error {
	fail := func(reason string, err error) error {
		return &MessageError{Type: fmt.Sprintf("%T", m), Reason: reason, Err: err}
	}
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	size := n &^ compressed
	if size > maxFrame {
		return fail(fmt.Sprintf("has %d bytes, at most %d are allowed", size, maxFrame), nil)
	}
	// The buffer grows with what arrives, not with what the header claims.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return err
	}
	data := body.Bytes()
	if n&compressed != 0 {
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(&body), maxFrame))
		if err != nil {
			return fail("can't be decompressed", err)
		}
		data = inflated
	}
	if err := cbor.Unmarshal(data, m); err != nil {
		return fail("can't be decoded", err)
	}
	return m.Validate()
}

// write sends one message.
func write(w io.Writer, m message) error {
	frame, err := encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}
