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

// blocked is an output that accepts nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a process that stands still because nobody reads its output.
func TestBlockedOutput(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := &blocked{open: make(chan struct{})}
	log, w := New(out, zapcore.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 * maxLines {
			log.Info("line", zap.Int("N", i))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a log line waits for the output")
	}
	if w.Dropped() == 0 {
		t.Error("dropped lines: got 0, want some")
	}
	close(out.open)
	w.Close()
	<-w.done
	out.mu.Lock()
	defer out.mu.Unlock()
	got := uint64(strings.Count(out.buf.String(), "\n"))
	if want := 3*maxLines - w.Dropped(); got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}

// Guards against lines that are lost or torn on their way.
func TestLines(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	log, w := New(&out, zapcore.InfoLevel)
	for i := range 500 {
		log.Info("line", zap.Int("N", i), zap.Duration(After, time.Second))
		log.Debug("not this one")
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

// Guards against output without bounds, and against lines whose absence nobody
// can see.
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
		t.Errorf("lines at one moment: got %d, want %d", written, LineBurst)
	}
	if ok, n := l.Allow("Copy", now); !ok || n != 0 {
		t.Errorf("another cause: got %v, %d, want true, 0", ok, n)
	}
	ok, n := l.Allow("Opened", now.Add(time.Second))
	if want := uint64(1000 - LineBurst); !ok || n != want || l.LeftOut() != want {
		t.Errorf("a second later: got %v, %d left out of %d, want true, %d", ok, n, l.LeftOut(), want)
	}
	for i := range 2 * maxCauses {
		l.Allow(fmt.Sprint(i), now)
	}
	if got := len(l.causes); got > maxCauses {
		t.Errorf("causes: got %d, want at most %d", got, maxCauses)
	}
}
