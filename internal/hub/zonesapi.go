package hub

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

const (
	// ZonesPath is the path of the operators' interface for zone orders.
	ZonesPath = "/Zones"
	// EvacuatePath and RestorePath follow the path and the name of a zone.
	EvacuatePath = "/Evacuate"
	RestorePath  = "/Restore"
	// bodyTimeout is the time for which a call without a stated length may take to
	// show that it has no body.
	bodyTimeout = time.Second
)

type (
	// ZonesStatus is the response to GET /Zones.
	ZonesStatus struct {
		Hub    fleet.VMID `json:"Hub"`
		Leader fleet.VMID `json:"Leader,omitempty"`
		// Revision, Evacuated and Restored are the zone orders in force: those of the
		// newest acknowledged order if this hub is the leader, otherwise those that
		// this hub knows.
		Revision  catalog.ZoneRevision `json:"Revision"`
		Evacuated []fleet.ZoneID       `json:"Evacuated"`
		Restored  []RestoredZone       `json:"Restored"`
		Hubs      []HubStatus          `json:"Hubs"`
		// EntryVMs are the entry VMs that are connected to this hub.
		EntryVMs []EntryVMStatus `json:"EntryVMs"`
	}

	// RestoredZone is a zone with the revision of its last restore.
	RestoredZone struct {
		Zone     fleet.ZoneID         `json:"Zone"`
		Revision catalog.ZoneRevision `json:"Revision"`
	}

	// HubStatus is a hub of the log. Connected is set if the responding hub is this
	// hub or receives its feed.
	HubStatus struct {
		VM        fleet.VMID   `json:"VM"`
		Zone      fleet.ZoneID `json:"Zone"`
		Connected bool         `json:"Connected"`
	}

	// EntryVMStatus is an entry VM with the highest revision that it has
	// acknowledged.
	EntryVMStatus struct {
		VM       fleet.VMID           `json:"VM"`
		Zone     fleet.ZoneID         `json:"Zone"`
		Revision catalog.ZoneRevision `json:"Revision"`
	}

	// ZoneOrderResponse is the response to a committed zone order. Changed is not set
	// if the order repeats the last order of the zone.
	ZoneOrderResponse struct {
		Revision catalog.ZoneRevision `json:"Revision"`
		Changed  bool                 `json:"Changed"`
	}

	// ErrorResponse is the response to a failed call.
	ErrorResponse struct {
		Error string `json:"Error"`
	}

	// BodyError reports a call with a body where none is allowed.
	BodyError struct{}
)

// Error says that the body must be empty.
func (BodyError) Error() string { return "the call must have no body" }

// CheckNoBody returns a BodyError if the request has a body, or if its length is not
// stated and its end does not arrive within bodyTimeout.
func CheckNoBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 {
		// Only the writers of tests have no deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		if n, err := io.ReadFull(r.Body, make([]byte, 1)); n == 0 && errors.Is(err, io.EOF) {
			return nil
		}
	}
	return BodyError{}
}

// Status returns the HTTP status for an error of a call, and the address of the
// leader if the status is 307. The status is 503 if the call may succeed later, 413 for
// a replica.TooLargeError, 404 for a ZoneOrdersOffError, and 400 for any other error.
func Status(err error) (status int, leader fleet.VMID) {
	var notLeader *NotLeaderError
	var unavailable *UnavailableError
	var off ZoneOrdersOffError
	var busy BusyError
	var tooLarge *replica.TooLargeError
	switch {
	case errors.As(err, &notLeader) && notLeader.Leader != "":
		return http.StatusTemporaryRedirect, notLeader.Leader
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, ""
	case errors.As(err, &notLeader), errors.As(err, &unavailable), errors.As(err, &busy):
		return http.StatusServiceUnavailable, ""
	case errors.As(err, &off):
		return http.StatusNotFound, ""
	}
	return http.StatusBadRequest, ""
}

// withZones returns a handler that serves the operators' interface for zone orders,
// and passes other calls to h.
func (d *Daemon) withZones(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ZonesPath, d.getZones)
	mux.HandleFunc("POST "+ZonesPath+"/{zone}"+EvacuatePath, d.postZoneOrder(true))
	mux.HandleFunc("POST "+ZonesPath+"/{zone}"+RestorePath, d.postZoneOrder(false))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ZonesPath || strings.HasPrefix(r.URL.Path, ZonesPath+"/") {
			mux.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) postZoneOrder(evacuate bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := CheckNoBody(w, r)
		var result catalog.ZoneResult
		if err == nil {
			result, err = d.orderZone(r.Context(), catalog.ZoneOrder{Zone: fleet.ZoneID(r.PathValue("zone")), Evacuate: evacuate})
		}
		if err != nil {
			respondError(w, r, err)
			return
		}
		respond(w, http.StatusOK, &ZoneOrderResponse{Revision: result.Revision, Changed: result.Changed})
	}
}

func (d *Daemon) getZones(w http.ResponseWriter, r *http.Request) {
	s, err := d.zonesStatus(r.Context())
	if err != nil {
		respondError(w, r, err)
		return
	}
	respond(w, http.StatusOK, s)
}

// zonesStatus returns the status of this hub. It returns an UnavailableError until
// this hub has restored the zone orders of its log, or if it is the leader and no
// majority confirms that it has the newest ones.
func (d *Daemon) zonesStatus(ctx context.Context) (*ZonesStatus, error) {
	zones, err := d.Zones(ctx)
	s := &ZonesStatus{Hub: d.Settings.ID(), Leader: d.Settings.ID()}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		l := d.loop.Load()
		if l == nil || !l.caughtUp.Load() {
			return nil, &UnavailableError{Err: logNotRestoredError{}}
		}
		s.Leader, zones, err = notLeader.Leader, d.store.Zones(), nil
	}
	if err != nil {
		return nil, err
	}
	s.Revision, s.Evacuated = zones.Revision, append([]fleet.ZoneID{}, zones.Evacuated...)
	s.Restored = make([]RestoredZone, 0, len(zones.Restored))
	for _, z := range zones.Restored {
		s.Restored = append(s.Restored, RestoredZone(z))
	}
	connected := map[fleet.VMID]bool{s.Hub: true}
	for _, id := range d.store.Sources() {
		connected[id] = true
	}
	for _, h := range d.store.Hubs() {
		s.Hubs = append(s.Hubs, HubStatus{h.VM, h.Zone, connected[h.VM]})
	}
	s.EntryVMs = make([]EntryVMStatus, 0)
	for _, vm := range d.store.EntryVMs() {
		s.EntryVMs = append(s.EntryVMs, EntryVMStatus(vm))
	}
	return s, nil
}

func respondError(w http.ResponseWriter, r *http.Request, err error) {
	status, leader := Status(err)
	if leader != "" {
		w.Header().Set("Location", fmt.Sprintf("http://%s%s", leader, r.URL.EscapedPath()))
	}
	respond(w, status, &ErrorResponse{Error: err.Error()})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the client does not get the complete response and
	// treats the call as failed.
	_ = json.NewEncoder(w).Encode(body)
}
