package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

// Announce announces a target to the entry VM at HTTP address vm. It returns a
// RemoteError if the VM rejects the announcement.
func Announce(ctx context.Context, c *http.Client, vm netip.AddrPort, a *Announcement) (Grant, error) {
	return send(ctx, c, http.MethodPost, vm, a, nil)
}

// Leave ends the lease of a target at the entry VM at HTTP address vm. It
// returns a RemoteError if the VM rejects the request.
func Leave(ctx context.Context, c *http.Client, vm netip.AddrPort, a *Announcement) error {
	_, err := send(ctx, c, http.MethodDelete, vm, a, nil)
	return err
}

func send(ctx context.Context, c *http.Client, method string, vm netip.AddrPort, a *Announcement, header http.Header) (Grant, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return Grant{}, fmt.Errorf("encoding an announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.String()+Path, bytes.NewReader(body))
	if err != nil {
		return Grant{}, fmt.Errorf("sending an announcement request to %s: %w", vm, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.Do(req)
	if err != nil {
		return Grant{}, fmt.Errorf("sending an announcement request to %s: %w", vm, err)
	}
	defer resp.Body.Close()
	return readGrant(resp)
}

func readGrant(resp *http.Response) (Grant, error) {
	body := io.LimitReader(resp.Body, maxBodySize)
	if resp.StatusCode == http.StatusNoContent {
		return Grant{}, nil
	}
	if resp.StatusCode != http.StatusOK {
		remote := &RemoteError{Status: resp.StatusCode}
		if err := json.NewDecoder(body).Decode(&remote.Problem); err != nil {
			remote.Problem = Problem{Code: CodeUnavailable, Reason: resp.Status}
		}
		return Grant{}, remote
	}
	var g Grant
	if err := json.NewDecoder(body).Decode(&g); err != nil {
		return Grant{}, &MalformedError{Err: err}
	}
	return g, nil
}
