package hub

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"

	"bamboowalk.org/bamboowalk/pkg/replica"
)

const (
	// MaxDocument is the maximum size of a document in bytes, as a command of the log.
	MaxDocument = replica.DefaultMaxCommand - documentOverhead
	// documentOverhead exceeds the size of the encoding of a document without its text.
	documentOverhead = 64
	// bodiesPart is the part of the memory of the VM, as a divisor, that the bodies of
	// calls in progress may take. A document takes several times its size while it is
	// parsed.
	bodiesPart = 32
)

type (
	// Bodies reads the bodies of calls, and limits the memory of those in progress. It is
	// safe for concurrent use.
	Bodies struct {
		// Memory is the memory of the VM in bytes, replica.DefaultMemory if it is 0.
		Memory int

		once sync.Once
		room *semaphore.Weighted
	}

	// BusyError reports a call that was refused because the bodies of calls in progress
	// leave no room for its body.
	BusyError struct{}
)

// Error says that the call was refused.
func (BusyError) Error() string { return "too many calls with large bodies are in progress" }

// Read reads a body of at most limit bytes. release must be called when the call has
// ended, also after an error. Read returns a replica.TooLargeError for a longer body, a
// BusyError if the bodies in progress leave no room for it, and the error of the
// connection. The length that the caller states is not trusted beyond limit, and a body
// without a stated length takes the room of the longest one.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int) (body []byte, release func(), err error) {
	b.once.Do(func() {
		memory := b.Memory
		if memory == 0 {
			memory = replica.DefaultMemory
		}
		b.room = semaphore.NewWeighted(int64(max(memory/bodiesPart, MaxDocument)))
	})
	release = func() {}
	if r.ContentLength > int64(limit) {
		return nil, release, &replica.TooLargeError{Size: int(min(r.ContentLength, 1<<31-1)), Limit: limit}
	}
	size := r.ContentLength
	if size < 0 {
		size = int64(limit)
	}
	if !b.room.TryAcquire(size) {
		return nil, release, BusyError{}
	}
	release = sync.OnceFunc(func() { b.room.Release(size) })
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = &replica.TooLargeError{Size: limit + 1, Limit: limit}
	}
	return body, release, err
}
