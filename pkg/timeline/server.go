package timeline

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Path is the URL path at which daemons serve their events.
const Path = "/Timeline"

const (
	maxPageEvents = 1000
	maxWait       = 20 * time.Second
	paramAfter    = "After"
	paramWait     = "Wait"
)

// Handler serves the events of a ring as JSON pages. The query parameters of a
// request are After, Wait and those of Filter.Query. If the ring has no matching
// event with a sequence number above After, the Handler waits until such an
// event is recorded or the duration Wait has passed. A Wait of more than 20 s
// counts as 20 s.
type Handler struct {
	Ring *Ring
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP writes one Page as JSON, or status 400 if a parameter is invalid.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f, err := ParseFilter(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	after, err := parseUint(q.Get(paramAfter))
	if err != nil {
		http.Error(w, (&FilterError{Parameter: paramAfter, Err: err}).Error(), http.StatusBadRequest)
		return
	}
	wait, err := parseDuration(q.Get(paramWait))
	if err != nil {
		http.Error(w, (&FilterError{Parameter: paramWait, Err: err}).Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	page := h.waitForPage(ctx, after, f)
	w.Header().Set("Content-Type", "application/json")
	// The status line may already be sent, so a failed write can't be reported
	// to the client.
	_ = json.NewEncoder(w).Encode(page)
}

func (h *Handler) waitForPage(ctx context.Context, after uint64, f Filter) Page {
	for {
		changed := h.Ring.Changed()
		page := h.Ring.Since(after, f, maxPageEvents)
		if len(page.Events) > 0 {
			return page
		}
		select {
		case <-ctx.Done():
			return page
		case <-changed:
		}
	}
}

func parseUint(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}
