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

// maxLineSize is the maximum size of a log line in bytes, with the newline.
const maxLineSize = 1 << 20

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
		// Fields holds all fields except the time, the level and the message.
		Fields map[string]any
	}

	// ReadError reports a failure to read logs.
	ReadError struct{ Err error }
)

// Error returns the message with the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read logs: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// Read passes the log lines of r to emit. Text before the first brace of a line
// is ignored, so that the output of log collectors that add a prefix can be
// read as well. Lines without a JSON object or without a valid time are skipped
// and counted. If reading from r fails or a line is longer than 1 MiB, Read
// returns a ReadError.
func Read(r io.Reader, emit func(Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		emit(l)
	}
	if err := scanner.Err(); err != nil {
		return skipped, &ReadError{Err: err}
	}
	return skipped, nil
}

func parseLine(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: make(map[string]any)}
	if json.Unmarshal(b[start:], &l.Fields) != nil {
		return Line{}, false
	}
	stringField := func(key string) string {
		s, _ := l.Fields[key].(string)
		return s
	}
	timestamp, err := time.Parse(time.RFC3339Nano, stringField("Time"))
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Message = timestamp, stringField("Message")
	l.VM, l.Flow, l.Caller = stringField(logging.VM), stringField(logging.Flow), stringField(logging.Caller)
	l.Target, l.Former, l.Service = stringField(logging.Target), stringField(logging.Former), stringField(logging.Service)
	if n, ok := l.Fields[logging.LeftOut].(float64); ok {
		l.LeftOut = uint64(n)
	}
	for _, key := range []string{"Time", "Level", "Message"} {
		delete(l.Fields, key)
	}
	return l, true
}
