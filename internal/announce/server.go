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

// Path is the path of announcements.
const Path = "/targets"

const (
	maxBody = 4096
	// forwardedHeader marks a request that another VM forwarded. The receiver
	// does not forward it again, so that two VMs with different views can't
	// send it back and forth. It counts only from the address of a member, so
	// that a target can't choose its owner with it.
	forwardedHeader = "Bamboowalk-Forwarded"
	forwardTimeout  = 2 * time.Second
	maxClients      = 4096
)

type (
	// Server is the HTTP handler of announcements. Set the fields before use.
	Server struct {
		Self fleet.VMID
		// Control runs f in the goroutine that owns the registry and the view,
		// and returns when f is done; it returns an error where that goroutine
		// has stopped.
		Control func(ctx context.Context, f func(r *Registry, now time.Time)) error
		// Changed is called in that goroutine after a change of targets.
		Changed func(r *Registry)
		// Members returns the members of the zone; they may forward requests.
		Members func() []fleet.VM
		Client  *http.Client
		// PerClient and Burst limit the requests of one IP address.
		PerClient rate.Limit
		Burst     int

		mu      sync.Mutex
		clients map[netip.Addr]*rate.Limiter
	}

	// outcome is the result of one request in the control goroutine.
	outcome struct {
		owner   fleet.VMID
		grant   Grant
		changed bool
		err     error
	}
)

var _ http.Handler = (*Server)(nil)

// ServeHTTP handles POST and DELETE of Path.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	grant, err := s.serve(req)
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

func (s *Server) serve(req *http.Request) (Grant, error) {
	client := clientOf(req)
	forwarded := req.Header.Get(forwardedHeader) != "" && s.isMember(client)
	// Requests of other entry VMs have passed the limit of the VM that took
	// them.
	if !forwarded && !s.allow(client) {
		return Grant{}, &RateError{}
	}
	a, err := decode(req)
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

// clientOf returns the caller's IP address; it is invalid where the transport
// gives none.
func clientOf(req *http.Request) netip.Addr {
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

func decode(req *http.Request) (*Announcement, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, &MalformedError{Err: err}
	}
	if len(body) > maxBody {
		return nil, &TooLargeError{Limit: maxBody}
	}
	return Decode(body, req.Method == http.MethodDelete)
}

// Decode decodes and validates an announcement; leave says that only Service,
// Address and Credential are needed. It returns a MalformedError or a
// FieldError.
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

// apply authorizes the request and carries it out where this VM is the owner
// or another VM regards it as the owner.
func (s *Server) apply(req *http.Request, a *Announcement, forwarded bool) (outcome, error) {
	var out outcome
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
		s.carryOut(req.Method, r, a, now, &out)
	})
	return out, err
}

func (s *Server) carryOut(method string, r *Registry, a *Announcement, now time.Time, out *outcome) {
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
	// An error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}
