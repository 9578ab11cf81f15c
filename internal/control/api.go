package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

// Paths of the operators' HTTP interface.
const (
	// DocumentsPath precedes a document's path in the URL that reads or writes
	// the document.
	DocumentsPath = "/Documents"
	// HistoryPath precedes a document's path in the URL of its history.
	HistoryPath = "/History"
	// StatusPath is the URL path of the replica's Status.
	StatusPath = "/Status"
)

// Header names and media types of the operators' HTTP interface.
const (
	// RevisionHeader holds a document's revision in a response with a TOML
	// body.
	RevisionHeader = "Bamboowalk-Revision"
	typeJSON       = "application/json"
	typeTOML       = "application/toml"
)

// maxBody is the maximum size of a request body in bytes; it leaves room for
// the JSON encoding of the largest document.
const maxBody = 4 * settings.MaxDocumentSize

type (
	// ReplicatedLog is the part of the replicated log that the HTTP interface
	// uses.
	ReplicatedLog interface {
		// Write runs a write and returns its result. It returns a
		// NotLeaderError, or an UnavailableError if the outcome may be unknown.
		Write(ctx context.Context, w *settings.Write) (*settings.Result, error)
		// Read calls f once the state machine is known to be up to date, or
		// returns a NotLeaderError or an UnavailableError.
		Read(ctx context.Context, f func(m *settings.StateMachine)) error
		// Status returns the state of this replica, which may be behind the
		// leader.
		Status() Status
	}

	// Status is the state of a replica.
	Status struct {
		ID       fleet.VMID     `json:"ID"`
		Role     string         `json:"Role"`
		Term     uint64         `json:"Term"`
		Leader   fleet.VMID     `json:"Leader"`
		Commit   uint64         `json:"Commit"`
		Applied  uint64         `json:"Applied"`
		Revision fleet.Revision `json:"Revision"`
	}

	// WriteRequest is the JSON body of a write request.
	WriteRequest struct {
		Expect    fleet.Revision       `json:"Expect"`
		Operation settings.OperationID `json:"Operation"`
		Text      string               `json:"Text"`
	}

	// ErrorResponse is the JSON body of an error response; Result holds the
	// typed error.
	ErrorResponse struct {
		Error  string          `json:"Error"`
		Result settings.Result `json:"Result"`
		Leader string          `json:"Leader,omitempty"`
	}

	// NotLeaderError reports that this replica is not the leader; only the
	// leader serves reads and writes.
	NotLeaderError struct {
		// Leader is the base URL of the leader's HTTP interface, or "" if the
		// leader is unknown.
		Leader string
	}

	// UnavailableError reports a request that the leader did not complete, for
	// example because no majority of the replicas answered in time. The
	// outcome of a write may be unknown; a retry with the same operation id is
	// safe.
	UnavailableError struct {
		Err error
	}

	// RequestError reports a malformed request.
	RequestError struct {
		Reason string
		Err    error
	}
)

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this replica is not the leader, and the leader is unknown"
	}
	return "this replica is not the leader; the leader is " + e.Leader
}

// Error advises a retry with the same operation id, since the outcome of a
// write may be unknown.
func (e *UnavailableError) Error() string {
	return "no majority of the replicas answered in time; retry with the same operation id"
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Error names the reason.
func (e *RequestError) Error() string {
	if e.Err != nil {
		return e.Reason + ": " + e.Err.Error()
	}
	return e.Reason
}

// Unwrap returns the cause, if any.
func (e *RequestError) Unwrap() error { return e.Err }

// API serves the operators' HTTP interface of one replica. Exported fields
// must be set before the first use.
type API struct {
	ReplicatedLog ReplicatedLog
	// RootKeyHash is the SHA-256 hash, in hexadecimal, of the key that may
	// write all documents.
	RootKeyHash string
}

// Handler returns the HTTP handler of the interface.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+DocumentsPath+"/{path...}", a.get)
	mux.HandleFunc("GET "+DocumentsPath, a.list)
	mux.HandleFunc("PUT "+DocumentsPath+"/{path...}", a.write)
	mux.HandleFunc("DELETE "+DocumentsPath+"/{path...}", a.write)
	mux.HandleFunc("GET "+HistoryPath+"/{path...}", a.history)
	mux.HandleFunc("GET "+StatusPath, a.status)
	return mux
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	p, err := settings.ParsePath("/" + r.PathValue("path"))
	if err != nil {
		writeError(w, err)
		return
	}
	var doc settings.Document
	var notFound error
	err = a.ReplicatedLog.Read(r.Context(), func(m *settings.StateMachine) { doc, notFound = m.Get(p) })
	if err := errors.Join(err, notFound); err != nil {
		writeError(w, err)
		return
	}
	if r.Header.Get("Accept") != typeTOML {
		writeJSON(w, http.StatusOK, doc)
		return
	}
	w.Header().Set("Content-Type", typeTOML)
	w.Header().Set(RevisionHeader, strconv.FormatUint(uint64(doc.Revision), 10))
	// The status line is already sent, so a failed write can't be reported.
	_, _ = io.WriteString(w, doc.Text)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	docs := []settings.Document{}
	err := a.ReplicatedLog.Read(r.Context(), func(m *settings.StateMachine) { docs = append(docs, m.List(prefix)...) })
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, docs)
}

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	p, err := settings.ParsePath("/" + r.PathValue("path"))
	if err != nil {
		writeError(w, err)
		return
	}
	var versions []settings.Version
	var notFound error
	err = a.ReplicatedLog.Read(r.Context(), func(m *settings.StateMachine) { versions, notFound = m.History(p) })
	if err := errors.Join(err, notFound); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, versions)
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.ReplicatedLog.Status())
}

func (a *API) write(w http.ResponseWriter, r *http.Request) {
	cmd, err := a.parseWrite(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	result, err := a.ReplicatedLog.Write(r.Context(), cmd)
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// parseWrite reads a write from a request. A body with the JSON content type is
// a WriteRequest. Any other body is a TOML document, and the query parameters
// are Expect and Operation. The text is ignored if the method is DELETE.
func (a *API) parseWrite(w http.ResponseWriter, r *http.Request) (*settings.Write, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, &RequestError{Reason: "the body can't be read", Err: err}
	}
	cmd := &settings.Write{
		Path:   settings.Path("/" + r.PathValue("path")),
		Text:   string(body),
		Delete: r.Method == http.MethodDelete,
	}
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err == nil && mediaType == typeJSON {
		var req WriteRequest
		if err := json.Unmarshal(body, &req); err != nil {
			return nil, &RequestError{Reason: "the body is not a JSON write request", Err: err}
		}
		cmd.Expect, cmd.Operation, cmd.Text = req.Expect, req.Operation, req.Text
	} else if err := parseQuery(r, cmd); err != nil {
		return nil, err
	}
	if cmd.Delete {
		cmd.Text = ""
	}
	a.authenticate(r, cmd)
	return cmd, cmd.Validate()
}

func parseQuery(r *http.Request, cmd *settings.Write) error {
	q := r.URL.Query()
	expect, err := strconv.ParseUint(q.Get("Expect"), 10, 64)
	if err != nil {
		return &RequestError{Reason: "the parameter Expect must be the revision that the document is expected to have", Err: err}
	}
	cmd.Expect = fleet.Revision(expect)
	cmd.Operation = settings.OperationID(q.Get("Operation"))
	return nil
}

// authenticate stores the hash of the request's key in cmd.KeyHash, and sets
// cmd.Root if the key is the root key. It does nothing if the request has no
// bearer token.
func (a *API) authenticate(r *http.Request, cmd *settings.Write) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return
	}
	cmd.KeyHash = settings.HashKey(key)
	cmd.Root = a.RootKeyHash != "" && strings.EqualFold(cmd.KeyHash, a.RootKeyHash)
}

// statusOf returns the HTTP status for the type of an error, or 400 if the type
// has no status of its own.
func statusOf(err error) int {
	var (
		conflict    *settings.ConflictError
		expired     *settings.OperationExpiredError
		reused      *settings.OperationReusedError
		forbidden   *settings.ForbiddenError
		notFound    *settings.NotFoundError
		limit       *settings.LimitError
		invalid     *settings.InvalidError
		notLeader   *NotLeaderError
		unavailable *UnavailableError
	)
	switch {
	case errors.As(err, &conflict), errors.As(err, &reused):
		return http.StatusConflict
	case errors.As(err, &expired):
		return http.StatusGone
	case errors.As(err, &forbidden):
		return http.StatusForbidden
	case errors.As(err, &notFound):
		return http.StatusNotFound
	case errors.As(err, &limit):
		return http.StatusTooManyRequests
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity
	case errors.As(err, &notLeader):
		return http.StatusMisdirectedRequest
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func writeError(w http.ResponseWriter, err error) {
	response := ErrorResponse{Error: err.Error(), Result: settings.ResultOf(err)}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		response.Leader = notLeader.Leader
	}
	writeJSON(w, statusOf(err), response)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", typeJSON)
	w.WriteHeader(status)
	// The status line is already sent, so a failed write can't be reported.
	_ = json.NewEncoder(w).Encode(v)
}
