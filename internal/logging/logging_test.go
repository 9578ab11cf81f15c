package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a process that blocks because nobody reads its log output, and
// against lost lines that are not counted as dropped.
func TestBlockedOutput(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	log, w := New(out, zapcore.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * maxQueuedLines {
			log.Info("line", zap.Int("N", i))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output is blocked")
	}
	if w.Dropped() == 0 {
		t.Error("dropped lines: got 0, want some")
	}
	close(out.unblock)
	w.Close()
	<-w.done
	out.mu.Lock()
	defer out.mu.Unlock()
	got := uint64(strings.Count(out.buf.String(), "\n"))
	if want := 3*maxQueuedLines - w.Dropped(); got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}

// Guards against log lines that are lost, split or reordered while the output
// accepts data, and against lines below the log level that are written.
func TestLines(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	log, w := New(&out, zapcore.InfoLevel)
	for i := range 500 {
		log.Info("line", zap.Int("N", i), zap.Duration(After, time.Second))
		log.Debug("debug line")
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 500 {
		t.Fatalf("got %d lines, want 500", len(lines))
	}
	for i, line := range lines {
		if !strings.Contains(line, fmt.Sprintf(`"N":%d,"After":"1s"`, i)) {
			t.Fatalf("line %d: got %s", i, line)
		}
	}
}

// Guards against an unlimited number of lines or causes, against a cause that
// uses up the limit of another, and against suppressed lines that are not
// counted.
func TestLimiter(t *testing.T) {
	var l Limiter
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 1000 {
		if ok, _ := l.Allow("Opened", now); ok {
			written++
		}
	}
	if written != LineBurst {
		t.Errorf("lines at the same time: got %d, want %d", written, LineBurst)
	}
	if ok, n := l.Allow("Copy", now); !ok || n != 0 {
		t.Errorf("another cause: got %v, %d, want true, 0", ok, n)
	}
	ok, n := l.Allow("Opened", now.Add(time.Second))
	if want := uint64(1000 - LineBurst); !ok || n != want || l.LeftOut() != want {
		t.Errorf("a second later: got %v, %d suppressed lines, %d in total, want true, %d", ok, n, l.LeftOut(), want)
	}
	for i := range 2 * maxCauses {
		l.Allow(fmt.Sprint(i), now)
	}
	if got := len(l.causes); got > maxCauses {
		t.Errorf("causes: got %d, want at most %d", got, maxCauses)
	}
}
