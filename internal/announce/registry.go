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

// States that a target can announce.
const (
	Cold     State = "Cold"
	Ready    State = "Ready"
	Draining State = "Draining"
)

type (
	// State is the state that a target announces.
	State string

	// Announcement is the body of POST /targets. In the body of DELETE /targets
	// only Service, Address and Credential are required.
	Announcement struct {
		Service         fleet.ServiceID `json:"Service"`
		Address         netip.AddrPort  `json:"Address"`
		Slots           int             `json:"Slots,omitempty"`
		ConnectionLimit int             `json:"ConnectionLimit,omitempty"`
		State           State           `json:"State,omitempty"`
		Credential      string          `json:"Credential"`
		// Incarnation increases with each restart of the target. If it is 0, the
		// VM that receives the announcement assigns the incarnation. A late DELETE
		// without it then ends the process that runs now.
		Incarnation fleet.Incarnation `json:"Incarnation,omitempty"`
	}

	// Grant is the response to an announcement.
	Grant struct {
		Target fleet.TargetID `json:"Target"`
		State  string         `json:"State"`
		// LeaseSeconds is the duration of the lease in seconds. The target counts
		// as gone if it does not announce itself again before the lease ends.
		LeaseSeconds float64    `json:"LeaseSeconds"`
		Owner        fleet.VMID `json:"Owner"`
		// OwnerData is the owner's data address. If a target has received no packet
		// of a flow for some time, it sends the flow's responses to OwnerData,
		// because the VM that sent the flow's last packet may have crashed.
		OwnerData netip.AddrPort `json:"OwnerData"`
	}

	// Credential is the SHA-256 digest of a service's credential.
	Credential [sha256.Size]byte

	// Registry keeps the announcement leases of the targets that this VM owns. It
	// is not safe for concurrent use. Each registered target is owned by Self in
	// the latest view or was announced after that view.
	Registry struct {
		Self      fleet.VMID
		Data      netip.AddrPort
		Zone      fleet.ZoneID
		LeaseTime time.Duration
		Limit     int
		Services  map[fleet.ServiceID]Credential
		// Owner returns the owner of a target in a view.
		Owner func(*fleet.View, fleet.TargetKey) fleet.VMID

		view          *fleet.View
		registrations map[netip.AddrPort]*registration
	}

	registration struct {
		target  fleet.Target
		state   chart.State
		expires time.Time
		// unhealthy is set while the health checks of the target fail.
		unhealthy bool
		// fromView is set if the state comes from a view and the target has not
		// announced itself to this VM since. The next announcement may then set any
		// state, because the former owner reports a target as draining if the health
		// checks of the target fail.
		fromView bool
	}
)

var lifecycle = newTargetChart()

// targetChart is the state chart of targets and the events that announcements
// cause in it.
type targetChart struct {
	*chart.Chart
	startEvents      map[State]chart.Event
	transitionEvents map[State]map[string]chart.Event
	leaveEvent       chart.Event
	leaseEndEvent    chart.Event
}

func newTargetChart() targetChart {
	c := chart.MustLoad(chart.Target)
	return targetChart{
		Chart: c,
		startEvents: map[State]chart.Event{
			Cold: c.MustEvent("StartCold"), Ready: c.MustEvent("StartReady"), Draining: c.MustEvent("StartDraining"),
		},
		// A draining target must become Cold before Ready, so that the load of the
		// target is ramped up. The chart therefore rejects Ramped in Draining.
		transitionEvents: map[State]map[string]chart.Event{
			Cold:     {"Ready": c.MustEvent("Cool"), "Draining": c.MustEvent("Resume")},
			Ready:    {"Cold": c.MustEvent("Ramped"), "Draining": c.MustEvent("Ramped")},
			Draining: {"Cold": c.MustEvent("Drain"), "Ready": c.MustEvent("Drain")},
		},
		leaveEvent:    c.MustEvent("Leave"),
		leaseEndEvent: c.MustEvent("LeaseEnd"),
	}
}

// advance returns the next state of a target that is in state from and
// announces the state announced, or a chart.TransitionError.
func (c targetChart) advance(from chart.State, announced State) (chart.State, error) {
	if c.StateName(from) == string(announced) {
		return from, nil
	}
	if from == c.Initial() {
		return c.Next(from, c.startEvents[announced])
	}
	return c.Next(from, c.transitionEvents[announced][c.StateName(from)])
}

// HashCredential returns the digest by which the settings identify a
// credential.
func HashCredential(text string) Credential { return sha256.Sum256([]byte(text)) }

// UnmarshalText decodes 64 hexadecimal digits. It returns a fleet.FieldError
// for any other text.
func (c *Credential) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(c[:], text[:min(len(text), 2*len(c))]); err != nil || n != len(c) || len(text) != 2*len(c) {
		return &fleet.FieldError{Type: "Service", Field: "CredentialSHA256", Reason: "must be 64 hexadecimal digits"}
	}
	return nil
}

// MarshalText encodes the digest in hexadecimal.
func (c Credential) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, c[:]), nil }

// Validate returns a fleet.FieldError for the first invalid value.
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

// SetView registers the targets of the view that this VM newly owns and that are
// not gone, each with a full lease time. It removes the targets that this VM no
// longer owns. If two VMs registered a target as new at the same time, the target
// has two incarnations and its slots count twice. SetView therefore removes the
// lower incarnation. It reports whether it removed any lower incarnation.
func (r *Registry) SetView(v *fleet.View, now time.Time) bool {
	r.view = v
	r.init()
	newest := make(map[netip.AddrPort]fleet.Incarnation)
	for i := range v.Targets {
		id := v.Targets[i].ID
		newest[id.Address] = max(newest[id.Address], id.Incarnation)
	}
	dropped := false
	for address, e := range r.registrations {
		switch {
		case r.Owner(v, e.target.ID.Key()) != r.Self:
			delete(r.registrations, address)
		case e.target.ID.Incarnation < newest[address]:
			delete(r.registrations, address)
			dropped = true
		}
	}
	for i := range v.Targets {
		t := &v.Targets[i]
		if r.registrations[t.ID.Address] != nil || t.State == fleet.TargetGone || r.Owner(v, t.ID.Key()) != r.Self {
			continue
		}
		if t.ID.Incarnation < newest[t.ID.Address] {
			continue
		}
		r.registrations[t.ID.Address] = &registration{target: *t, state: lifecycle.MustState(string(t.State)), expires: now.Add(r.LeaseTime), fromView: true}
	}
	return dropped
}

func (r *Registry) init() {
	if r.registrations == nil {
		r.registrations = make(map[netip.AddrPort]*registration)
	}
}

// Authorize checks the service and the credential. It returns a
// fleet.UnknownError or a CredentialError.
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

// Locate returns the owner of the announced target. If a.Incarnation is 0,
// Locate sets it. Locate returns an OwnerError if there is no view or no owner,
// and an AddressHeldError if another service uses the address.
func (r *Registry) Locate(a *Announcement, now time.Time) (fleet.VMID, error) {
	if r.view == nil {
		return "", &OwnerError{}
	}
	if err := r.checkAddress(a); err != nil {
		return "", err
	}
	if a.Incarnation == 0 {
		a.Incarnation = r.resolveIncarnation(a, now)
	}
	owner := r.Owner(r.view, a.id().Key())
	if owner == "" {
		return "", &OwnerError{}
	}
	return owner, nil
}

func (r *Registry) checkAddress(a *Announcement) error {
	if e := r.registrations[a.Address]; e != nil && e.target.ID.Service != a.Service {
		return &AddressHeldError{Address: a.Address.String(), Holder: e.target.ID.Service}
	}
	for i := range r.view.Targets {
		t := &r.view.Targets[i]
		if t.ID.Address == a.Address && t.ID.Service != a.Service && t.State != fleet.TargetGone {
			return &AddressHeldError{Address: a.Address.String(), Holder: t.ID.Service}
		}
	}
	return nil
}

// resolveIncarnation returns the known incarnation of the target at an address.
// For an unknown target it returns the current time in Unix nanoseconds, which
// is greater than all earlier incarnations.
func (r *Registry) resolveIncarnation(a *Announcement, now time.Time) fleet.Incarnation {
	if e := r.registrations[a.Address]; e != nil {
		return e.target.ID.Incarnation
	}
	for _, t := range r.view.ServiceTargets(a.Service) {
		if t.ID.Address == a.Address && t.State != fleet.TargetGone {
			return t.ID.Incarnation
		}
	}
	return fleet.Incarnation(now.UnixNano())
}

// Announce registers a target, or renews the lease of a registered target. This
// VM must own the target in its own view or in the view of the VM that forwarded
// the announcement. Announce reports whether anything but the end of a lease
// changed. It returns a RegistryFullError, an AddressHeldError, a StaleError or a
// chart.TransitionError.
func (r *Registry) Announce(a *Announcement, now time.Time) (Grant, bool, error) {
	r.init()
	e := r.registrations[a.Address]
	if e != nil && e.target.ID.Service != a.Service {
		return Grant{}, false, &AddressHeldError{Address: a.Address.String(), Holder: e.target.ID.Service}
	}
	if err := e.checkIncarnation(a); err != nil {
		return Grant{}, false, err
	}
	// A new incarnation replaces the previous incarnation of the target.
	if e == nil || e.target.ID != a.id() {
		return r.create(a, now)
	}
	from := e.state
	if e.fromView {
		from = lifecycle.Initial()
	}
	state, err := lifecycle.advance(from, a.State)
	if err != nil {
		return Grant{}, false, fmt.Errorf("announcing %s: %w", e.target.ID, err)
	}
	e.fromView = false
	before := e.target
	r.renew(e, a, state, now)
	return r.grant(e), e.target != before, nil
}

func (r *Registry) create(a *Announcement, now time.Time) (Grant, bool, error) {
	if _, known := r.registrations[a.Address]; !known && len(r.registrations) >= r.Limit {
		return Grant{}, false, &RegistryFullError{Limit: r.Limit}
	}
	state, err := lifecycle.advance(lifecycle.Initial(), a.State)
	if err != nil {
		return Grant{}, false, fmt.Errorf("announcing %s: %w", a.id(), err)
	}
	e := &registration{target: fleet.Target{ID: a.id(), Zone: r.Zone}}
	r.renew(e, a, state, now)
	r.registrations[a.Address] = e
	return r.grant(e), true, nil
}

func (r *Registry) renew(e *registration, a *Announcement, state chart.State, now time.Time) {
	e.state = state
	e.target.State = fleet.TargetState(lifecycle.StateName(state))
	e.target.Slots = a.Slots
	e.target.ConnectionLimit = a.ConnectionLimit
	e.expires = now.Add(r.LeaseTime)
}

func (r *Registry) grant(e *registration) Grant {
	return Grant{
		Target:       e.target.ID,
		State:        string(e.target.State),
		LeaseSeconds: r.LeaseTime.Seconds(),
		Owner:        r.Self,
		OwnerData:    r.Data,
	}
}

// SetUnhealthy sets whether the health checks of a target fail. While they
// fail, the target is reported as draining, whatever state it announces.
// SetUnhealthy reports whether the value changed.
func (r *Registry) SetUnhealthy(id fleet.TargetID, unhealthy bool) bool {
	e := r.registrations[id.Address]
	if e == nil || e.target.ID != id || e.unhealthy == unhealthy {
		return false
	}
	e.unhealthy = unhealthy
	return true
}

// reportedTarget returns the target as it is reported to the zone: an unhealthy
// target is draining.
func (e *registration) reportedTarget() fleet.Target {
	t := e.target
	if e.unhealthy {
		t.State = fleet.TargetDraining
	}
	return t
}

// checkIncarnation returns a StaleError for a call of an earlier incarnation than the
// registered one. e may be nil.
func (e *registration) checkIncarnation(a *Announcement) error {
	if e == nil || a.Incarnation == 0 || a.Incarnation >= e.target.ID.Incarnation {
		return nil
	}
	return &StaleError{Target: a.id(), Registered: e.target.ID.Incarnation}
}

// Leave ends the lease of a target. It returns a fleet.UnknownError if this VM
// has no lease of the target, and a StaleError if the target has restarted since.
func (r *Registry) Leave(a *Announcement) error {
	e := r.registrations[a.Address]
	if e == nil || e.target.ID.Service != a.Service {
		return &fleet.UnknownError{Type: "target", Name: a.Address.String()}
	}
	if err := e.checkIncarnation(a); err != nil {
		return err
	}
	if _, err := lifecycle.Next(e.state, lifecycle.leaveEvent); err != nil {
		return fmt.Errorf("leave of %s: %w", e.target.ID, err)
	}
	delete(r.registrations, a.Address)
	return nil
}

// Expire removes the targets whose lease has expired and returns their IDs.
func (r *Registry) Expire(now time.Time) []fleet.TargetID {
	var expired []fleet.TargetID
	for address, e := range r.registrations {
		if now.Before(e.expires) {
			continue
		}
		if _, err := lifecycle.Next(e.state, lifecycle.leaseEndEvent); err == nil {
			expired = append(expired, e.target.ID)
			delete(r.registrations, address)
		}
	}
	return expired
}

// Targets returns the registered targets, sorted by address. Unhealthy targets
// are returned as draining.
func (r *Registry) Targets() []fleet.Target {
	out := make([]fleet.Target, 0, len(r.registrations))
	for _, e := range r.registrations {
		out = append(out, e.reportedTarget())
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return a.ID.Address.Compare(b.ID.Address) })
	return out
}
