package hub

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bamboowalk.org/bamboowalk/pkg/replica"
)

// request returns a call with a body of n bytes, with or without a stated length.
func request(n int, stated bool) *http.Request {
	r := httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", n)))
	if !stated {
		r.ContentLength = -1
	}
	return r
}

// Guards against calls in progress that take the memory of the VM: callers that send
// slowly, many at a time, or without an end.
func TestBodies(t *testing.T) {
	const limit = 1 << 20
	b := &Bodies{Memory: 4 * limit * bodiesPart}
	read := func(r *http.Request) (func(), error) {
		body, release, err := b.Read(httptest.NewRecorder(), r, limit)
		if err == nil && len(body) == 0 {
			t.Errorf("body: got none")
		}
		return release, err
	}
	var tooLarge *replica.TooLargeError
	for _, stated := range []bool{true, false} {
		release, err := read(request(limit+1, stated))
		if !errors.As(err, &tooLarge) {
			t.Errorf("body above the limit, length stated %v: got %v, want TooLargeError", stated, err)
		}
		release()
	}
	var releases []func()
	for i := range 4 {
		release, err := read(request(limit-i, i%2 == 0))
		if err != nil {
			t.Fatalf("call %d: got %v, want no error", i, err)
		}
		releases = append(releases, release)
	}
	var busy BusyError
	if _, err := read(request(limit, true)); !errors.As(err, &busy) {
		t.Errorf("call beyond the room: got %v, want BusyError", err)
	}
	releases[0]()
	releases[0]()
	if _, err := read(request(limit, true)); err != nil {
		t.Errorf("call after another has ended: got %v, want no error", err)
	}
	if _, err := read(request(limit, true)); !errors.As(err, &busy) {
		t.Errorf("call after a release that was repeated: got %v, want BusyError", err)
	}
}
