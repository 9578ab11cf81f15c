package logging

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// maxLines bounds the lines that wait, at some 300 bytes each.
	maxLines = 2048
	// flushInterval is the time for which lines are gathered into one write.
	flushInterval = 50 * time.Millisecond
	// closeTimeout bounds the wait for the last lines at the end of a process.
	closeTimeout = 200 * time.Millisecond
	// maxWrite bounds the bytes of one write.
	maxWrite = 64 << 10
)

// Writer passes lines on to a slower writer without ever waiting for it. Lines
// that do not fit into its buffer are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

var _ zapcore.WriteSyncer = (*Writer)(nil)

// NewWriter returns a writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line; it reports no error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since nobody may wait for the output.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that did not fit.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued, unless the output is blocked.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var buf []byte
	for {
		select {
		case line := <-w.lines:
			buf = append(buf[:0], line...)
		case <-w.stop:
			for buf = w.gather(buf[:0]); len(buf) > 0; buf = w.gather(buf[:0]) {
				w.write(buf)
			}
			return
		}
		select {
		case <-w.stop:
		case <-time.After(flushInterval):
		}
		buf = w.gather(buf)
		w.write(buf)
	}
}

// gather appends the lines that wait.
func (w *Writer) gather(buf []byte) []byte {
	for len(buf) < maxWrite {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

func (w *Writer) write(b []byte) {
	if _, err := w.out.Write(b); err != nil {
		w.dropped.Add(1)
	}
}
