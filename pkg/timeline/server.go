package timeline

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Path is where daemons serve their events.
const Path = "/Timeline"

const (
	pageLimit  = 1000
	maxWaiting = 20 * time.Second
	paramAfter = "After"
	paramWait  = "Wait"
)

// Handler serves a ring's events as JSON pages. With the parameter Wait, a
// duration, a request whose page would be empty waits for the next event.
type Handler struct {
	Ring *Ring
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP writes one Page; bad parameters get status 400.
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
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWaiting))
	defer cancel()
	page := h.wait(ctx, after, f)
	w.Header().Set("Content-Type", "application/json")
	// The status line is out already, so a failed write has no one to tell.
	_ = json.NewEncoder(w).Encode(page)
}

func (h *Handler) wait(ctx context.Context, after uint64, f Filter) Page {
	for {
		changed := h.Ring.Changed()
		page := h.Ring.Since(after, f, pageLimit)
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
