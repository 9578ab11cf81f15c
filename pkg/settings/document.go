package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// MaxCouncilSize is the maximum number of VMs in a zone's council.
const MaxCouncilSize = 7

// hashLength is the length of a SHA-256 hash in hexadecimal digits.
const hashLength = 64

type (
	// Service is the document of a service.
	Service struct {
		// Credential is the SHA-256 hash, in hexadecimal, of the secret with
		// which the service's targets announce themselves.
		Credential string         `toml:"Credential"`
		Zones      []fleet.ZoneID `toml:"Zones"`
		Kinds      []fleet.Kind   `toml:"Kinds"`
		Probe      Probe          `toml:"Probe"`
	}

	// Probe configures the health and load checks of a service's targets. An
	// Interval of 0 disables the checks.
	Probe struct {
		HealthPath string        `toml:"HealthPath"`
		LoadPath   string        `toml:"LoadPath"`
		Port       uint16        `toml:"Port"`
		Interval   time.Duration `toml:"Interval"`
		Timeout    time.Duration `toml:"Timeout"`
	}

	// Listener is the document of a listener.
	Listener struct {
		Address  netip.AddrPort   `toml:"Address"`
		Protocol fleet.Protocol   `toml:"Protocol"`
		Service  string           `toml:"Service"`
		Kind     fleet.KindName   `toml:"Kind"`
		Answers  fleet.AnswerPath `toml:"Answers"`
	}

	// Zone is the document of a zone.
	Zone struct {
		Weight   float64         `toml:"Weight"`
		State    fleet.ZoneState `toml:"State"`
		EntryVMs []fleet.VM      `toml:"EntryVMs"`
		// Council names the entry VMs that grant leases and choose views.
		Council []fleet.VMID `toml:"Council"`
		// CouncilRevision must increase with each change of Council. To
		// replace a council that has permanently lost its majority, write the
		// new Council with a higher CouncilRevision.
		CouncilRevision uint32 `toml:"CouncilRevision"`
	}

	// Access is the document that lists what the holder of a key may write.
	Access struct {
		// KeyHash is the SHA-256 hash of the key in hexadecimal.
		KeyHash string `toml:"KeyHash"`
		// Write lists the path prefixes below which the key may write.
		Write []string `toml:"Write"`
	}

	// content is the decoded text of a document.
	content interface {
		check(r *report)
	}

	// report collects the faults of one document.
	report struct {
		path   Path
		faults []Fault
	}
)

var (
	_ content = (*Service)(nil)
	_ content = (*Listener)(nil)
	_ content = (*Zone)(nil)
	_ content = (*Access)(nil)
)

// decode parses and checks the text of a document. It does not check references
// to other documents; tree.checkPut does. It returns an InvalidError with all
// faults, or with the first syntax error if the text can't be parsed. It
// returns a PathError if the path has no class.
func decode(p Path, text string) (content, error) {
	c := newContent(p.Class())
	if c == nil {
		return nil, &PathError{Path: string(p), Reason: "names no document"}
	}
	r := &report{path: p}
	if nestedTooDeeply(text) {
		r.add("", fmt.Sprintf("values or keys are nested more than %d times", maxNesting))
		return nil, r.err()
	}
	meta, err := toml.Decode(text, c)
	if err != nil {
		r.addParseError(err)
		return nil, r.err()
	}
	for _, key := range meta.Undecoded() {
		r.add(key.String(), "unknown key")
	}
	c.check(r)
	return c, r.err()
}

func newContent(class Class) content {
	switch class {
	case ClassService:
		return new(Service)
	case ClassListener:
		return new(Listener)
	case ClassZone:
		return new(Zone)
	case ClassAccess:
		return new(Access)
	}
	return nil
}

func (s *Service) check(r *report) {
	r.checkHash("Credential", s.Credential)
	if len(s.Zones) == 0 {
		r.add("Zones", "must name at least one zone")
	}
	if len(s.Kinds) == 0 {
		r.add("Kinds", "must have at least one kind of work")
	}
	share := 0.0
	names := make(map[fleet.KindName]bool)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		key := fmt.Sprintf("Kinds[%d]", i)
		if err := k.Validate(); err != nil {
			r.addValidation(key, err)
		}
		if names[k.Name] {
			r.add(key+".Name", "stands twice")
		}
		names[k.Name] = true
		share += k.Share
	}
	if share > 1 {
		r.add("Kinds", "the shares add up to more than 1")
	}
	if s.Probe.Interval < 0 || s.Probe.Interval > 0 && s.Probe.Timeout <= 0 {
		r.add("Probe", "Interval must not be negative, and Timeout must be above 0 where Interval is")
	}
}

func (l *Listener) check(r *report) {
	if !l.Address.IsValid() || l.Address.Port() == 0 {
		r.add("Address", "must be an IP address and port")
	}
	if l.Protocol != fleet.TCP && l.Protocol != fleet.UDP {
		r.add("Protocol", "must be tcp or udp")
	}
	if l.Service == "" {
		r.add("Service", "must name a service of the team")
	}
	if l.Kind == "" {
		r.add("Kind", "must name a kind of work of the service")
	}
	if l.Answers != fleet.Direct && l.Answers != fleet.Through {
		r.add("Answers", "must be Direct or Through")
	}
}

func (z *Zone) check(r *report) {
	if !(z.Weight > 0) {
		r.add("Weight", "must be above 0")
	}
	if z.State != fleet.ZoneIn && z.State != fleet.ZoneOut {
		r.add("State", "must be In or Out")
	}
	if len(z.Council) == 0 || len(z.Council) > MaxCouncilSize {
		r.add("Council", fmt.Sprintf("must name 1 to %d entry VMs", MaxCouncilSize))
	}
	if z.CouncilRevision == 0 {
		r.add("CouncilRevision", "must be at least 1")
	}
	known := make(map[fleet.VMID]bool)
	for i, vm := range z.EntryVMs {
		key := fmt.Sprintf("EntryVMs[%d]", i)
		if vm.ID == "" || !vm.Control.IsValid() || !vm.Data.IsValid() || !vm.HTTP.IsValid() {
			r.add(key, "must have ID, Control, Data and HTTP")
		}
		if known[vm.ID] {
			r.add(key+".ID", "stands twice")
		}
		known[vm.ID] = true
	}
	seen := make(map[fleet.VMID]bool)
	for i, id := range z.Council {
		key := fmt.Sprintf("Council[%d]", i)
		if !known[id] {
			r.add(key, "is no entry VM of the zone")
		}
		if seen[id] {
			r.add(key, "stands twice")
		}
		seen[id] = true
	}
}

func (a *Access) check(r *report) {
	r.checkHash("KeyHash", a.KeyHash)
	for i, prefix := range a.Write {
		if prefix == "" || prefix[0] != '/' {
			r.add(fmt.Sprintf("Write[%d]", i), "must start with /")
		}
	}
}

func (r *report) add(key, reason string) {
	r.faults = append(r.faults, Fault{Path: r.path, Key: key, Reason: reason})
}

func (r *report) addParseError(err error) {
	f := Fault{Path: r.path, Reason: err.Error()}
	var pe toml.ParseError
	if errors.As(err, &pe) {
		f.Key, f.Line, f.Reason = pe.LastKey, pe.Position.Line, pe.Message
	}
	if f.Reason == "" {
		f.Reason = err.Error()
	}
	r.faults = append(r.faults, f)
}

func (r *report) addValidation(key string, err error) {
	var fe *fleet.FieldError
	if errors.As(err, &fe) {
		r.add(key+"."+fe.Field, fe.Reason)
		return
	}
	r.add(key, err.Error())
}

func (r *report) checkHash(key, hash string) {
	if _, err := hex.DecodeString(hash); err != nil || len(hash) != hashLength {
		r.add(key, "must be a SHA-256 hash in hexadecimal")
	}
}

func (r *report) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: r.faults}
}
