package announce

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// States in announcements, which the target chart turns into events.
const (
	Cold     State = "Cold"
	Ready    State = "Ready"
	Draining State = "Draining"
)

type (
	// State is what a target says of itself.
	State string

	// Announcement is the body of POST /targets and, with Service, Address and
	// Credential only, of DELETE /targets.
	Announcement struct {
		Service         fleet.ServiceID `json:"Service"`
		Address         netip.AddrPort  `json:"Address"`
		Slots           int             `json:"Slots,omitempty"`
		ConnectionLimit int             `json:"ConnectionLimit,omitempty"`
		State           State           `json:"State,omitempty"`
		Credential      string          `json:"Credential"`
		// Incarnation rises with each restart of the target; the owner assigns
		// one where it is 0.
		Incarnation fleet.Incarnation `json:"Incarnation,omitempty"`
	}

	// Grant answers an announcement.
	Grant struct {
		Target fleet.TargetID `json:"Target"`
		State  string         `json:"State"`
		// LeaseSeconds is the time after which the target counts as gone unless
		// it announces itself again.
		LeaseSeconds float64    `json:"LeaseSeconds"`
		Owner        fleet.VMID `json:"Owner"`
		// OwnerData is the owner's data address. A target whose flow has heard
		// nothing for some time sends its responses there, since the VM that
		// sent the flow's last packet may have crashed.
		OwnerData netip.AddrPort `json:"OwnerData"`
	}

	// Credential is the SHA-256 digest of a service's credential.
	Credential [sha256.Size]byte

	// Registry keeps the announcement leases of the targets that this VM owns.
	// One goroutine uses it. Every entry is owned by Self in the latest view
	// or was announced since.
	Registry struct {
		Self      fleet.VMID
		Data      netip.AddrPort
		Zone      fleet.ZoneID
		LeaseTime time.Duration
		Limit     int
		Services  map[fleet.ServiceID]Credential
		// Owner returns the owner of a target in a view.
		Owner func(*fleet.View, fleet.TargetKey) fleet.VMID

		view    *fleet.View
		entries map[netip.AddrPort]*entry
	}

	entry struct {
		target  fleet.Target
		state   chart.State
		expires time.Time
		// bad is set while health checks speak against the target.
		bad bool
		// adopted is set until the first announcement after a change of owner:
		// the view's state may be the verdict of the former owner.
		adopted bool
	}
)

var lifecycle = newTargetChart()

// targetChart is the target chart with its states and events resolved.
type targetChart struct {
	*chart.Chart
	first    map[State]chart.Event
	next     map[State]map[string]chart.Event
	leave    chart.Event
	leaseEnd chart.Event
}

func newTargetChart() targetChart {
	c := chart.MustLoad(chart.Target)
	return targetChart{
		Chart: c,
		first: map[State]chart.Event{
			Cold: c.MustEvent("StartCold"), Ready: c.MustEvent("StartReady"), Draining: c.MustEvent("StartDraining"),
		},
		// A draining target returns by way of Cold, so that it is ramped up.
		next: map[State]map[string]chart.Event{
			Cold:     {"Ready": c.MustEvent("Cool"), "Draining": c.MustEvent("Resume")},
			Ready:    {"Cold": c.MustEvent("Ramped"), "Draining": c.MustEvent("Ramped")},
			Draining: {"Cold": c.MustEvent("Drain"), "Ready": c.MustEvent("Drain")},
		},
		leave:    c.MustEvent("Leave"),
		leaseEnd: c.MustEvent("LeaseEnd"),
	}
}

// advance returns the state after an announcement, or a TransitionError.
func (c targetChart) advance(from chart.State, said State) (chart.State, error) {
	if c.StateName(from) == string(said) {
		return from, nil
	}
	if from == c.Initial() {
		return c.Next(from, c.first[said])
	}
	return c.Next(from, c.next[said][c.StateName(from)])
}

// HashCredential returns the digest under which settings store a credential.
func HashCredential(text string) Credential { return sha256.Sum256([]byte(text)) }

// UnmarshalText decodes 64 hexadecimal digits; it returns a FieldError.
func (c *Credential) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(c[:], text[:min(len(text), 2*len(c))]); err != nil || n != len(c) || len(text) != 2*len(c) {
		return &fleet.FieldError{Type: "Service", Field: "CredentialSHA256", Reason: "must be 64 hexadecimal digits"}
	}
	return nil
}

// MarshalText encodes the digest in hexadecimal.
func (c Credential) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, c[:]), nil }

// Validate returns a FieldError for the first value out of range.
func (a *Announcement) Validate() error {
	t := fleet.Target{ID: a.id(), Zone: "any", Slots: a.Slots, ConnectionLimit: a.ConnectionLimit, State: fleet.TargetAnnounced}
	if err := t.Validate(); err != nil {
		return err
	}
	if a.State != Cold && a.State != Ready && a.State != Draining {
		return &fleet.FieldError{Type: "Announcement", Field: "State", Reason: "must be Cold, Ready or Draining"}
	}
	return nil
}

func (a *Announcement) id() fleet.TargetID {
	return fleet.TargetID{Service: a.Service, Address: a.Address, Incarnation: a.Incarnation}
}

// SetView takes over the leases of targets that this VM now owns, each for a
// whole lease time, and drops those that it no longer owns. A target that two
// VMs took as new at the same time has two incarnations; the lower one is
// dropped, since its slots would count twice. SetView reports whether it
// dropped one.
func (r *Registry) SetView(v *fleet.View, now time.Time) bool {
	r.view = v
	r.init()
	newest := make(map[netip.AddrPort]fleet.Incarnation)
	for i := range v.Targets {
		id := v.Targets[i].ID
		newest[id.Address] = max(newest[id.Address], id.Incarnation)
	}
	dropped := false
	for address, e := range r.entries {
		switch {
		case r.Owner(v, e.target.ID.Key()) != r.Self:
			delete(r.entries, address)
		case e.target.ID.Incarnation < newest[address]:
			delete(r.entries, address)
			dropped = true
		}
	}
	for i := range v.Targets {
		t := &v.Targets[i]
		if r.entries[t.ID.Address] != nil || t.State == fleet.TargetGone || r.Owner(v, t.ID.Key()) != r.Self {
			continue
		}
		if t.ID.Incarnation < newest[t.ID.Address] {
			continue
		}
		r.entries[t.ID.Address] = &entry{target: *t, state: lifecycle.MustState(string(t.State)), expires: now.Add(r.LeaseTime), adopted: true}
	}
	return dropped
}

func (r *Registry) init() {
	if r.entries == nil {
		r.entries = make(map[netip.AddrPort]*entry)
	}
}

// Authorize checks the service and credential; it returns an UnknownError or a
// CredentialError.
func (r *Registry) Authorize(a *Announcement) error {
	want, ok := r.Services[a.Service]
	if !ok {
		return &fleet.UnknownError{Type: "service", Name: string(a.Service)}
	}
	got := HashCredential(a.Credential)
	if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return &CredentialError{Service: a.Service}
	}
	return nil
}

// Locate completes the target's incarnation from the view and returns the
// target's owner; it returns an OwnerError where there is no view yet and a
// HeldError where another service holds the address.
func (r *Registry) Locate(a *Announcement, now time.Time) (fleet.VMID, error) {
	if r.view == nil {
		return "", &OwnerError{}
	}
	if err := r.checkHolder(a); err != nil {
		return "", err
	}
	if a.Incarnation == 0 {
		a.Incarnation = r.incarnation(a, now)
	}
	owner := r.Owner(r.view, a.id().Key())
	if owner == "" {
		return "", &OwnerError{}
	}
	return owner, nil
}

func (r *Registry) checkHolder(a *Announcement) error {
	if e := r.entries[a.Address]; e != nil && e.target.ID.Service != a.Service {
		return &HeldError{Address: a.Address.String(), Holder: e.target.ID.Service}
	}
	for i := range r.view.Targets {
		t := &r.view.Targets[i]
		if t.ID.Address == a.Address && t.ID.Service != a.Service && t.State != fleet.TargetGone {
			return &HeldError{Address: a.Address.String(), Holder: t.ID.Service}
		}
	}
	return nil
}

// incarnation keeps the known incarnation of an address; a target that was not
// known gets the present time, which is above all earlier ones.
func (r *Registry) incarnation(a *Announcement, now time.Time) fleet.Incarnation {
	if e := r.entries[a.Address]; e != nil {
		return e.target.ID.Incarnation
	}
	for _, t := range r.view.ServiceTargets(a.Service) {
		if t.ID.Address == a.Address && t.State != fleet.TargetGone {
			return t.ID.Incarnation
		}
	}
	return fleet.Incarnation(now.UnixNano())
}

// Announce creates or renews the lease of a target that this VM owns, and
// reports whether the set of targets changed. It returns a FullError, a
// HeldError or a TransitionError.
func (r *Registry) Announce(a *Announcement, now time.Time) (Grant, bool, error) {
	r.init()
	e := r.entries[a.Address]
	if e != nil && e.target.ID.Service != a.Service {
		return Grant{}, false, &HeldError{Address: a.Address.String(), Holder: e.target.ID.Service}
	}
	// A new incarnation replaces the old life of the target.
	if e == nil || e.target.ID != a.id() {
		return r.create(a, now)
	}
	from := e.state
	if e.adopted {
		from = lifecycle.Initial()
	}
	state, err := lifecycle.advance(from, a.State)
	if err != nil {
		return Grant{}, false, fmt.Errorf("announcing %s: %w", e.target.ID, err)
	}
	e.adopted = false
	before := e.target
	r.update(e, a, state, now)
	return r.grant(e), e.target != before, nil
}

func (r *Registry) create(a *Announcement, now time.Time) (Grant, bool, error) {
	if _, known := r.entries[a.Address]; !known && len(r.entries) >= r.Limit {
		return Grant{}, false, &FullError{Limit: r.Limit}
	}
	state, err := lifecycle.advance(lifecycle.Initial(), a.State)
	if err != nil {
		return Grant{}, false, fmt.Errorf("announcing %s: %w", a.id(), err)
	}
	e := &entry{target: fleet.Target{ID: a.id(), Zone: r.Zone}}
	r.update(e, a, state, now)
	r.entries[a.Address] = e
	return r.grant(e), true, nil
}

func (r *Registry) update(e *entry, a *Announcement, state chart.State, now time.Time) {
	e.state = state
	e.target.State = fleet.TargetState(lifecycle.StateName(state))
	e.target.Slots = a.Slots
	e.target.ConnectionLimit = a.ConnectionLimit
	e.expires = now.Add(r.LeaseTime)
}

func (r *Registry) grant(e *entry) Grant {
	return Grant{
		Target:       e.target.ID,
		State:        string(e.target.State),
		LeaseSeconds: r.LeaseTime.Seconds(),
		Owner:        r.Self,
		OwnerData:    r.Data,
	}
}

// SetBad says whether health checks speak against a target. One that they do
// counts as draining whatever it announces, until they no longer do. It
// reports whether that changed.
func (r *Registry) SetBad(id fleet.TargetID, bad bool) bool {
	e := r.entries[id.Address]
	if e == nil || e.target.ID != id || e.bad == bad {
		return false
	}
	e.bad = bad
	return true
}

// effective is the target as the zone should see it.
func (e *entry) effective() fleet.Target {
	t := e.target
	if e.bad {
		t.State = fleet.TargetDraining
	}
	return t
}

// Leave ends the lease of a target; it returns an UnknownError where this VM
// holds none.
func (r *Registry) Leave(a *Announcement) error {
	e := r.entries[a.Address]
	if e == nil || e.target.ID.Service != a.Service {
		return &fleet.UnknownError{Type: "target", Name: a.Address.String()}
	}
	if _, err := lifecycle.Next(e.state, lifecycle.leave); err != nil {
		return fmt.Errorf("leave of %s: %w", e.target.ID, err)
	}
	delete(r.entries, a.Address)
	return nil
}

// Expire drops the targets whose lease has ended and returns them.
func (r *Registry) Expire(now time.Time) []fleet.TargetID {
	var gone []fleet.TargetID
	for address, e := range r.entries {
		if now.Before(e.expires) {
			continue
		}
		if _, err := lifecycle.Next(e.state, lifecycle.leaseEnd); err == nil {
			gone = append(gone, e.target.ID)
			delete(r.entries, address)
		}
	}
	return gone
}

// Targets returns the targets whose leases this VM keeps, ordered by address.
func (r *Registry) Targets() []fleet.Target {
	out := make([]fleet.Target, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.effective())
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return a.ID.Address.Compare(b.ID.Address) })
	return out
}
