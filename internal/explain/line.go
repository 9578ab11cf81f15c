package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bamboowalk.org/bamboowalk/internal/logging"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

type (
	// Line is one log line of any process.
	Line struct {
		Time    time.Time
		Message string
		VM      string
		Flow    string
		Caller  string
		Target  string
		Former  string
		Service string
		LeftOut uint64
		// Fields are all fields but the time, the level and the message.
		Fields map[string]any
	}

	// ReadError reports logs that can't be read.
	ReadError struct{ Err error }
)

// Error names the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read logs: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Read passes the log lines of r to take. What stands before the first brace of
// a line is ignored, so that the output of collectors that add a prefix can be
// read too; lines without JSON are skipped and counted.
func Read(r io.Reader, take func(Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		take(l)
	}
	if err := scanner.Err(); err != nil {
		return skipped, &ReadError{Err: err}
	}
	return skipped, nil
}

func parse(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: make(map[string]any)}
	if json.Unmarshal(b[start:], &l.Fields) != nil {
		return Line{}, false
	}
	text := func(key string) string {
		s, _ := l.Fields[key].(string)
		return s
	}
	at, err := time.Parse(time.RFC3339Nano, text("Time"))
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Message = at, text("Message")
	l.VM, l.Flow, l.Caller = text(logging.VM), text(logging.Flow), text(logging.Caller)
	l.Target, l.Former, l.Service = text(logging.Target), text(logging.Former), text(logging.Service)
	if n, ok := l.Fields[logging.LeftOut].(float64); ok {
		l.LeftOut = uint64(n)
	}
	for _, key := range []string{"Time", "Level", "Message"} {
		delete(l.Fields, key)
	}
	return l, true
}
