package timeline

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxPageSize is the maximum number of bytes that a client reads of a page, so
// that decoding a larger page fails.
const maxPageSize = 16 << 20

type (
	// Source is the base URL of a process, such as "http://127.0.0.1:9100".
	Source string

	// Gap describes a process whose events are partly or entirely missing from
	// a collection. Shed is the number of events by kind that the process has
	// evicted from its ring.
	Gap struct {
		Source Source          `json:"Source"`
		Shed   map[Kind]uint64 `json:"Shed,omitempty"`
		Reason string          `json:"Reason"`
	}

	// Collection holds the merged events of many processes in causal order.
	Collection struct {
		Events []Event `json:"Events"`
		Gaps   []Gap   `json:"Gaps"`
	}

	// SourceError reports a process whose events could not be read.
	SourceError struct {
		Source Source
		Err    error
	}

	// StatusError reports an HTTP status other than 200.
	StatusError struct {
		Code int
	}
)

// Error returns the message with the process and the cause.
func (e *SourceError) Error() string { return fmt.Sprintf("timeline of %s: %v", e.Source, e.Err) }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }

// Error returns the message with the code and text of the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s", e.Code, http.StatusText(e.Code))
}

// Client reads the events of many processes over HTTP. Filter selects the
// events, and HTTP must not be nil.
type Client struct {
	Sources []Source
	Filter  Filter
	HTTP    *http.Client
}

// Collect reads the events of all processes once. The processes that can't be
// read completely or that evicted events are listed in Gaps.
func (c *Client) Collect(ctx context.Context) Collection {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out Collection
	)
	for _, source := range c.Sources {
		wg.Go(func() {
			events, gap := c.readAll(ctx, source)
			mu.Lock()
			defer mu.Unlock()
			out.Events = append(out.Events, events...)
			if gap != nil {
				out.Gaps = append(out.Gaps, *gap)
			}
		})
	}
	wg.Wait()
	sortCausally(out.Events)
	slices.SortFunc(out.Gaps, func(a, b Gap) int { return cmp.Compare(a.Source, b.Source) })
	return out
}

// Follow calls emit for each event of all processes that the filter selects,
// until ctx ends. It starts with the earlier events that the processes still
// hold. The events of different processes are in the order of arrival, not in
// causal order. If a process can't be read, Follow passes the error to onError and
// retries after a second. It does not call emit and onError concurrently.
func (c *Client) Follow(ctx context.Context, emit func(Event), onError func(error)) {
	events := make(chan Event)
	errs := make(chan error)
	var wg sync.WaitGroup
	for _, source := range c.Sources {
		wg.Go(func() { c.followSource(ctx, source, events, errs) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for {
		select {
		case e := <-events:
			emit(e)
		case err := <-errs:
			onError(err)
		case <-done:
			return
		}
	}
}

func (c *Client) followSource(ctx context.Context, source Source, events chan<- Event, errs chan<- error) {
	var after uint64
	for ctx.Err() == nil {
		page, err := c.readPage(ctx, source, after, maxWait/2)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			select {
			case errs <- err:
			case <-ctx.Done():
				return
			}
			sleep(ctx, time.Second)
			continue
		}
		for _, e := range page.Events {
			select {
			case events <- e:
			case <-ctx.Done():
				return
			}
		}
		if page.Next < after {
			after = 0 // the process restarted, so its sequence starts again at 1
			continue
		}
		after = page.Next
	}
}

func (c *Client) readAll(ctx context.Context, source Source) ([]Event, *Gap) {
	var (
		events []Event
		after  uint64
	)
	for {
		page, err := c.readPage(ctx, source, after, 0)
		if err != nil {
			return events, &Gap{Source: source, Reason: err.Error()}
		}
		events = append(events, page.Events...)
		if len(page.Events) < maxPageEvents || page.Next <= after {
			return events, evictionGap(source, page.Shed)
		}
		after = page.Next
	}
}

func evictionGap(source Source, evicted map[Kind]uint64) *Gap {
	if len(evicted) == 0 {
		return nil
	}
	return &Gap{Source: source, Shed: evicted, Reason: "the process shed events"}
}

func (c *Client) readPage(ctx context.Context, source Source, after uint64, wait time.Duration) (Page, error) {
	q := c.Filter.Query()
	q.Set(paramAfter, strconv.FormatUint(after, 10))
	q.Set(paramWait, wait.String())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, string(source)+Path+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, &SourceError{Source: source, Err: err}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Page{}, &SourceError{Source: source, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Page{}, &SourceError{Source: source, Err: &StatusError{Code: resp.StatusCode}}
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageSize)).Decode(&page); err != nil {
		return Page{}, &SourceError{Source: source, Err: err}
	}
	return page, nil
}

// sortCausally sorts events by stamp. Only events of different processes can
// have equal stamps, because the stamps of a clock strictly increase; these
// events are sorted by process.
func sortCausally(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Process, b.Process)
	})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
