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
	headerSize = 4
	// compressedFlag is set in the header of a compressed frame; the other bits
	// are the length of the frame's body in bytes.
	compressedFlag = 1 << 31
	// minCompressed is the minimum size in bytes of a message that is compressed.
	minCompressed = 2 << 10
	// chunkSize is the maximum number of bytes in a chunk of a frame. Each chunk
	// must be written within IdleTimeout. The links of entry VMs carry ten times as much in that time.
	chunkSize = 16 << 10
	// readBufferSize is the size in bytes of the buffer of a connection. Most
	// messages are smaller, and are then read with one system call.
	readBufferSize = 512
)

type (
	// message is a type that is sent over a feed.
	message interface{ Validate() error }

	// stallTimeoutConn applies a timeout to each read, and IdleTimeout to each written
	// chunk, instead of the whole frame, so that a large frame can pass a slow link.
	stallTimeoutConn struct {
		net.Conn
		readTimeout time.Duration
	}
)

// flateWriters is a pool, because each writer allocates more than 100 KB.
var flateWriters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Read fails with a timeout if no data arrive for readTimeout.
func (c *stallTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes b in chunks. It fails with a timeout if a chunk can't be written
// within IdleTimeout.
func (c *stallTimeoutConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := c.SetWriteDeadline(time.Now().Add(IdleTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+chunkSize, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// encode returns the frame of a message: a header with the length, and the body.
// It returns a MessageError if the message can't be encoded or is too large.
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
		flag = compressedFlag
	}
	frame := make([]byte, 0, headerSize+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body))|flag)
	return append(frame, body...), nil
}

func compress(body []byte) ([]byte, error) {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
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

// read reads, decodes and validates one message. It returns a MessageError
// or an error of r.
func read(r io.Reader, m message) error {
	fail := func(reason string, err error) error {
		return &MessageError{Type: fmt.Sprintf("%T", m), Reason: reason, Err: err}
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	size := n &^ compressedFlag
	if size > maxFrame {
		return fail(fmt.Sprintf("has %d bytes, at most %d are allowed", size, maxFrame), nil)
	}
	// The buffer grows with the received data and is not allocated at once,
	// because a malformed header may claim more data than follow.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return err
	}
	data := body.Bytes()
	if n&compressedFlag != 0 {
		decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(&body), maxFrame))
		if err != nil {
			return fail("can't be decompressed", err)
		}
		data = decompressed
	}
	if err := cbor.Unmarshal(data, m); err != nil {
		return fail("can't be decoded", err)
	}
	return m.Validate()
}

// write encodes and writes one message.
func write(w io.Writer, m message) error {
	frame, err := encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}
