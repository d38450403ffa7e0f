// Package hostlist implements the client for the platform's host list.
//
// A Client holds only its idle connections and is safe for concurrent use.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

// List provides the host list.
type List interface {
	// Fetch returns the current list. The list may lag behind the actual state of
	// the hosts.
	Fetch(ctx context.Context) (platformapi.HostList, error)
}

// maxResponseBytes is the maximum number of bytes read from a response. A list of
// 1,100 hosts and 10,000 backend servers has about 2 MiB.
const maxResponseBytes = 32 << 20

// Client is a List that reads from the platform over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ List = (*Client)(nil)

// NewClient returns a Client for the platform at the base URL, for example
// "http://127.0.0.1:7000". The timeout applies to each call.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Fetch implements List. It rejects the whole list if any entry is invalid:
// dropping only the invalid entries would look as if those hosts were removed.
func (c *Client) Fetch(ctx context.Context) (platformapi.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+platformapi.RouteHosts, nil)
	if err != nil {
		return platformapi.HostList{}, newError(CodeRejected).Wrapf(err, "build call of host list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return platformapi.HostList{}, newError(CodeUnavailable).Wrapf(err, "call host list")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return platformapi.HostList{}, newError(CodeUnavailable).Wrapf(err, "read host list")
	case resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests:
		return platformapi.HostList{}, newError(CodeUnavailable).Errorf("host list answered with status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return platformapi.HostList{}, newError(CodeRejected).Errorf("host list refused the call with status %d: %.200s", resp.StatusCode, body)
	}
	var list platformapi.HostList
	if err := json.Unmarshal(body, &list); err != nil {
		return platformapi.HostList{}, newError(CodeInvalid).Wrapf(err, "decode host list")
	}
	if err := validate(list); err != nil {
		return platformapi.HostList{}, err
	}
	return list, nil
}

func validate(list platformapi.HostList) error {
	hosts := map[string]bool{}
	for _, h := range list.Hosts {
		_, err := netip.ParseAddrPort(h.Address)
		_, callerErr := netip.ParseAddrPort(h.CallerAddress)
		switch {
		case h.HostID == "" || hosts[h.HostID]:
			return newError(CodeInvalid).Errorf("host id %q is empty or listed twice", h.HostID)
		case err != nil || callerErr != nil:
			return newError(CodeInvalid).Errorf("host %q has addresses %q and %q, want IP:port", h.HostID, h.Address, h.CallerAddress)
		case h.DataCentre == "" || !isState(h.State):
			return newError(CodeInvalid).Errorf("host %q has data centre %q and state %q", h.HostID, h.DataCentre, h.State)
		}
		hosts[h.HostID] = true
	}
	backends := map[string]bool{}
	for _, b := range list.Backends {
		switch {
		case b.BackendID == "" || backends[b.BackendID]:
			return newError(CodeInvalid).Errorf("backend server id %q is empty or listed twice", b.BackendID)
		case !isBackendURL(b.URL):
			return newError(CodeInvalid).Errorf("backend server %q has URL %q, want http://IP:port", b.BackendID, b.URL)
		case b.DataCentre == "" || !isState(b.State) || b.Kind != platformapi.KindEngine && b.Kind != platformapi.KindService:
			return newError(CodeInvalid).Errorf("backend server %q has data centre %q, state %q and kind %q", b.BackendID, b.DataCentre, b.State, b.Kind)
		}
		backends[b.BackendID] = true
	}
	return nil
}

func isState(s string) bool {
	return s == platformapi.HostLive || s == platformapi.HostLeaving
}

func isBackendURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}
