package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

const (
	maxResponseBytes = 64 << 20
	attemptTimeout   = 3 * time.Second
)

type (
	// StatusError reports an HTTP error status for which there is no typed error.
	StatusError struct {
		Server string
		Status int
	}

	// NoReplicaError reports that no server gave a usable answer; Err is the last
	// failure.
	NoReplicaError struct {
		Err error
	}
)

// Error names the server and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d %s", e.Server, e.Status, http.StatusText(e.Status))
}

// Error names the last failure.
func (e *NoReplicaError) Error() string { return fmt.Sprintf("no usable control replica: %v", e.Err) }

// Unwrap returns the last failure.
func (e *NoReplicaError) Unwrap() error { return e.Err }

// Client talks to the control replicas and finds the leader among them.
// Exported fields must be set before first use.
type Client struct {
	// Servers are the base URLs of the replicas.
	Servers []string
	Key     string
	HTTP    *http.Client
	// Timeout is the maximum duration of one call, including all attempts.
	Timeout time.Duration

	leader string
}

// Get returns a document, or a settings.NotFoundError if there is none.
func (c *Client) Get(ctx context.Context, p settings.Path) (settings.Document, error) {
	var doc settings.Document
	return doc, c.call(ctx, http.MethodGet, control.DocumentsPath+string(p), nil, &doc)
}

// List returns the documents below a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]settings.Document, error) {
	var docs []settings.Document
	return docs, c.call(ctx, http.MethodGet, control.DocumentsPath+"?Prefix="+url.QueryEscape(prefix), nil, &docs)
}

// History returns the retained versions of a document, oldest first.
func (c *Client) History(ctx context.Context, p settings.Path) ([]settings.Version, error) {
	var versions []settings.Version
	return versions, c.call(ctx, http.MethodGet, control.HistoryPath+string(p), nil, &versions)
}

// Put writes a document if the document's current revision is expect (0 for a
// new document), and returns the new revision. All attempts carry the same
// operation ID, so that the write is applied at most once.
func (c *Client) Put(ctx context.Context, p settings.Path, expect fleet.Revision, text string) (fleet.Revision, error) {
	return c.write(ctx, http.MethodPut, p, control.WriteRequest{Expect: expect, Text: text})
}

// Delete deletes a document if the document's current revision is expect, and
// returns the new revision.
func (c *Client) Delete(ctx context.Context, p settings.Path, expect fleet.Revision) (fleet.Revision, error) {
	return c.write(ctx, http.MethodDelete, p, control.WriteRequest{Expect: expect})
}

func (c *Client) write(ctx context.Context, method string, p settings.Path, body control.WriteRequest) (fleet.Revision, error) {
	body.Operation = settings.NewOperationID(time.Now(), rand.Uint64())
	var result settings.Result
	err := c.call(ctx, method, control.DocumentsPath+string(p), &body, &result)
	return result.Revision, err
}

// call sends the request to the last known leader, or to the servers in turn
// while no leader is known. It retries until the request succeeds, a permanent
// error occurs or Timeout has passed. It returns a NoReplicaError if no server
// gave a usable answer.
func (c *Client) call(ctx context.Context, method, path string, body *control.WriteRequest, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	servers := c.shuffledServers()
	attempt := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		server := servers[attempt%len(servers)]
		if c.leader != "" {
			server = c.leader
		}
		attempt++
		return struct{}{}, c.attempt(ctx, server, method, path, body, out)
	}, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(c.Timeout))
	var permanent *backoff.PermanentError
	if err != nil && !errors.As(err, &permanent) && !isTypedAnswer(err) {
		return &NoReplicaError{Err: err}
	}
	return err
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

func (c *Client) shuffledServers() []string {
	servers := slices.Clone(c.Servers)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers
}

func (c *Client) attempt(ctx context.Context, server, method, path string, body *control.WriteRequest, out any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := c.send(ctx, server, method, path, body)
	if err != nil {
		c.leader = ""
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		c.leader = ""
		return fmt.Errorf("read response from %s: %w", server, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return backoff.Permanent(fmt.Errorf("decode response from %s: %w", server, err))
		}
		return nil
	}
	return c.responseError(server, resp.StatusCode, data)
}

func (c *Client) send(ctx context.Context, server, method, path string, body *control.WriteRequest) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, backoff.Permanent(fmt.Errorf("encode request body: %w", err))
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+path, payload)
	if err != nil {
		return nil, backoff.Permanent(fmt.Errorf("request to %s: %w", server, err))
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", server, err)
	}
	return resp, nil
}

// responseError converts an error response to a typed error. The error is
// marked as permanent unless a request to another server or a later attempt may
// succeed.
func (c *Client) responseError(server string, status int, data []byte) error {
	var errResp control.ErrorResponse
	if err := json.Unmarshal(data, &errResp); err != nil {
		return &StatusError{Server: server, Status: status}
	}
	switch status {
	case http.StatusMisdirectedRequest:
		c.leader = errResp.Leader
		return &control.NotLeaderError{Leader: errResp.Leader}
	case http.StatusServiceUnavailable:
		c.leader = ""
		return &control.UnavailableError{Err: &StatusError{Server: server, Status: status}}
	}
	if err := errResp.Result.Err(); err != nil {
		return backoff.Permanent(err)
	}
	return backoff.Permanent(&StatusError{Server: server, Status: status})
}

// isTypedAnswer reports whether err is a typed error that a replica returned for
// the request itself, rather than a failure to reach the leader.
func isTypedAnswer(err error) bool {
	var (
		notLeader   *control.NotLeaderError
		unavailable *control.UnavailableError
		statusErr   *StatusError
	)
	if errors.As(err, &notLeader) || errors.As(err, &unavailable) || errors.As(err, &statusErr) {
		return false
	}
	r := settings.ResultOf(err)
	return r.Code != settings.CodeOther
}

// GetJSON fetches a URL and decodes its JSON body into out. It does not look for
// the leader.
func (c *Client) GetJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("request to %s: %w", url, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("request to %s: %w", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Server: url, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("decode response from %s: %w", url, err)
	}
	return nil
}
