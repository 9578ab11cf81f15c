package logging

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the maximum number of queued lines. A line has about 300
	// bytes, so a full queue holds about 600 KB.
	maxQueuedLines = 2048
	// flushInterval is the time for which lines are collected into one write.
	flushInterval = 50 * time.Millisecond
	// closeTimeout is the maximum time for which Close waits until the queued
	// lines are written.
	closeTimeout = 200 * time.Millisecond
	// maxWriteBytes is the size in bytes from which no further line is added to
	// a write. The last line may exceed this size.
	maxWriteBytes = 64 << 10
)

// Writer queues lines for another writer and never blocks on it. Lines that do
// not fit into the queue are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

var _ zapcore.WriteSyncer = (*Writer)(nil)

// NewWriter returns a Writer that writes to out until Close is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops the line if the queue is full. It
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since callers must not block on the output.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that did not fit into the queue plus the
// number of failed writes.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close stops the writer and waits until the queued lines are written, but at
// most for closeTimeout. Close must be called only once.
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
			for buf = w.appendQueued(buf[:0]); len(buf) > 0; buf = w.appendQueued(buf[:0]) {
				w.write(buf)
			}
			return
		}
		select {
		case <-w.stop:
		case <-time.After(flushInterval):
		}
		buf = w.appendQueued(buf)
		w.write(buf)
	}
}

// appendQueued appends queued lines to buf until the queue is empty or buf has
// at least maxWriteBytes bytes.
func (w *Writer) appendQueued(buf []byte) []byte {
	for len(buf) < maxWriteBytes {
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
