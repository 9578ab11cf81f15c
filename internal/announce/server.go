package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Path is the HTTP path of announcements.
const Path = "/targets"

const (
	maxBodySize = 4096
	// forwardedHeader marks a request that another VM forwarded. The receiver
	// does not forward the request again, which prevents forwarding loops between
	// VMs with different views. The header is ignored unless the request comes
	// from the address of a member, so that a target can't choose its own owner.
	forwardedHeader = "Bamboowalk-Forwarded"
	forwardTimeout  = 2 * time.Second
	maxClients      = 4096
)

type (
	// Server is the HTTP handler for announcements. Its exported fields must be
	// set before use.
	Server struct {
		Self fleet.VMID
		// Control runs f in the goroutine that owns the registry and the view, and
		// returns after f has returned. If Control returns an error, f has not run,
		// because that goroutine has stopped or ctx is done.
		Control func(ctx context.Context, f func(r *Registry, now time.Time)) error
		// Changed is called in the goroutine that owns the registry, after the
		// targets have changed.
		Changed func(r *Registry)
		// Members returns the members of the zone, which may forward requests.
		Members func() []fleet.VM
		Client  *http.Client
		// PerClient and Burst limit the request rate of each client IP address.
		PerClient rate.Limit
		Burst     int

		mu      sync.Mutex
		clients map[netip.Addr]*rate.Limiter
	}

	// result is the result of one request in the control goroutine.
	result struct {
		owner   fleet.VMID
		grant   Grant
		changed bool
		err     error
	}
)

var _ http.Handler = (*Server)(nil)

// ServeHTTP handles POST and DELETE requests for Path.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	grant, err := s.handle(req)
	if err != nil {
		status, problem := classify(err)
		writeJSON(w, status, problem)
		return
	}
	if req.Method == http.MethodDelete {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeJSON(w, http.StatusOK, grant)
}

func (s *Server) handle(req *http.Request) (Grant, error) {
	client := clientAddr(req)
	forwarded := req.Header.Get(forwardedHeader) != "" && s.isMember(client)
	// The VM that forwarded a request has already applied the rate limit.
	if !forwarded && !s.allow(client) {
		return Grant{}, &RateError{}
	}
	a, err := readAnnouncement(req)
	if err != nil {
		return Grant{}, err
	}
	out, err := s.apply(req, a, forwarded)
	if err != nil {
		return Grant{}, err
	}
	if out.err != nil || out.owner == s.Self {
		return out.grant, out.err
	}
	return s.forward(req, a, out.owner)
}

// clientAddr returns the client's IP address, or the zero Addr if RemoteAddr is
// not an IP address with a port.
func clientAddr(req *http.Request) netip.Addr {
	client, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return client.Addr().Unmap()
}

func (s *Server) isMember(client netip.Addr) bool {
	return slices.ContainsFunc(s.Members(), func(vm fleet.VM) bool { return vm.HTTP.Addr() == client })
}

func (s *Server) allow(client netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.clients[client]
	if limiter == nil {
		if s.clients == nil || len(s.clients) >= maxClients {
			s.clients = make(map[netip.Addr]*rate.Limiter)
		}
		limiter = rate.NewLimiter(s.PerClient, s.Burst)
		s.clients[client] = limiter
	}
	return limiter.Allow()
}

func readAnnouncement(req *http.Request) (*Announcement, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodySize+1))
	if err != nil {
		return nil, &MalformedError{Err: err}
	}
	if len(body) > maxBodySize {
		return nil, &TooLargeError{Limit: maxBodySize}
	}
	return Decode(body, req.Method == http.MethodDelete)
}

// Decode decodes and validates an announcement. If leave is true, only Service,
// Address and Credential are required. It returns a MalformedError or a
// fleet.FieldError.
func Decode(body []byte, leave bool) (*Announcement, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var a Announcement
	if err := d.Decode(&a); err != nil {
		return nil, &MalformedError{Err: err}
	}
	if leave {
		a.Slots, a.ConnectionLimit, a.State = 1, 1, Draining
	}
	if err := a.Validate(); err != nil {
		return nil, fmt.Errorf("announcement: %w", err)
	}
	return &a, nil
}

// apply authorizes the request and executes it if this VM owns the target or if
// the request was forwarded by a VM whose view names this VM as the owner.
func (s *Server) apply(req *http.Request, a *Announcement, forwarded bool) (result, error) {
	var out result
	err := s.Control(req.Context(), func(r *Registry, now time.Time) {
		if out.err = r.Authorize(a); out.err != nil {
			return
		}
		if out.owner, out.err = r.Locate(a, now); out.err != nil {
			return
		}
		if out.owner != s.Self && !forwarded {
			return
		}
		out.owner = s.Self
		s.execute(req.Method, r, a, now, &out)
	})
	return out, err
}

func (s *Server) execute(method string, r *Registry, a *Announcement, now time.Time, out *result) {
	if method == http.MethodDelete {
		out.err = r.Leave(a)
		out.changed = out.err == nil
	} else {
		out.grant, out.changed, out.err = r.Announce(a, now)
	}
	if out.changed {
		s.Changed(r)
	}
}

func (s *Server) forward(req *http.Request, a *Announcement, owner fleet.VMID) (Grant, error) {
	members := s.Members()
	i := slices.IndexFunc(members, func(vm fleet.VM) bool { return vm.ID == owner })
	if i < 0 {
		return Grant{}, &OwnerError{Owner: owner, Err: &fleet.UnknownError{Type: "VM", Name: string(owner)}}
	}
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	header := http.Header{forwardedHeader: {string(s.Self)}}
	grant, err := send(ctx, s.Client, req.Method, members[i].HTTP, a, header)
	var remote *RemoteError
	if err != nil && !errors.As(err, &remote) {
		return Grant{}, &OwnerError{Owner: owner, Err: err}
	}
	return grant, err
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
