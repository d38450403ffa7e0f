package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

// filePollInterval is the interval at which the host list file is checked for
// changes.
const filePollInterval = 200 * time.Millisecond

// stateRemoved is the State of a StateChange that removes an entry from the list.
const stateRemoved = "removed"

// hostList serves the host list as it was lag ago. It is safe for concurrent use.
type hostList struct {
	lag time.Duration
	mu  sync.Mutex
	// history holds the revisions of the list, oldest first. Readers get the
	// first one. Guarded by mu.
	history []listRevision
}

type listRevision struct {
	at   time.Time
	list platformapi.HostList
}

// set replaces the list. The first list becomes visible at once, later ones after
// the lag.
func (h *hostList) set(now time.Time, list platformapi.HostList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, listRevision{at: now, list: list})
}

// get returns the list that is visible at now and discards older revisions.
func (h *hostList) get(now time.Time) platformapi.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.history) > 1 && !h.history[1].at.After(now.Add(-h.lag)) {
		h.history = h.history[1:]
	}
	if len(h.history) == 0 {
		return withNonNilLists(platformapi.HostList{})
	}
	return withNonNilLists(h.history[0].list)
}

// withNonNilLists replaces nil lists with empty ones, which JSON encodes as [].
func withNonNilLists(l platformapi.HostList) platformapi.HostList {
	if l.Hosts == nil {
		l.Hosts = []platformapi.Host{}
	}
	if l.Backends == nil {
		l.Backends = []platformapi.Backend{}
	}
	return l
}

// StateChange is the body of POST /admin/hosts. It identifies a host or a backend
// server by its id.
type StateChange struct {
	HostID    string `json:"host_id,omitempty"`
	BackendID string `json:"backend_id,omitempty"`
	State     string `json:"state"` // live, leaving or removed
}

// change adds a revision in which one entry of the newest list has a new state or
// is removed.
func (h *hostList) change(now time.Time, c StateChange) error {
	if !slices.Contains([]string{platformapi.HostLive, platformapi.HostLeaving, stateRemoved}, c.State) {
		return fmt.Errorf("state %q is not live, leaving or removed", c.State)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var list platformapi.HostList
	if n := len(h.history); n > 0 {
		list = h.history[n-1].list
	}
	list = platformapi.HostList{Hosts: slices.Clone(list.Hosts), Backends: slices.Clone(list.Backends)}
	host := slices.IndexFunc(list.Hosts, func(e platformapi.Host) bool { return e.HostID == c.HostID })
	backend := slices.IndexFunc(list.Backends, func(e platformapi.Backend) bool { return e.BackendID == c.BackendID })
	switch {
	case c.HostID != "" && host >= 0 && c.State == stateRemoved:
		list.Hosts = slices.Delete(list.Hosts, host, host+1)
	case c.HostID != "" && host >= 0:
		list.Hosts[host].State = c.State
	case c.BackendID != "" && backend >= 0 && c.State == stateRemoved:
		list.Backends = slices.Delete(list.Backends, backend, backend+1)
	case c.BackendID != "" && backend >= 0:
		list.Backends[backend].State = c.State
	default:
		return fmt.Errorf("neither host %q nor backend %q is listed", c.HostID, c.BackendID)
	}
	h.history = append(h.history, listRevision{at: now, list: list})
	return nil
}

func checkList(list platformapi.HostList) error {
	seen := map[string]bool{}
	for _, h := range list.Hosts {
		if h.HostID == "" || seen["host "+h.HostID] {
			return fmt.Errorf("host id %q is empty or listed twice", h.HostID)
		}
		seen["host "+h.HostID] = true
		if h.State != platformapi.HostLive && h.State != platformapi.HostLeaving {
			return fmt.Errorf("host %q: state %q is not live or leaving", h.HostID, h.State)
		}
	}
	for _, b := range list.Backends {
		if b.BackendID == "" || seen["backend "+b.BackendID] {
			return fmt.Errorf("backend id %q is empty or listed twice", b.BackendID)
		}
		seen["backend "+b.BackendID] = true
		if b.State != platformapi.HostLive && b.State != platformapi.HostLeaving {
			return fmt.Errorf("backend %q: state %q is not live or leaving", b.BackendID, b.State)
		}
		if b.Kind != platformapi.KindEngine && b.Kind != platformapi.KindService {
			return fmt.Errorf("backend %q: kind %q is not engine or service", b.BackendID, b.Kind)
		}
	}
	return nil
}

// parseList parses a host list as JSON if the file name ends in .json, otherwise
// as TOML. Both formats use the field names of the platform protocol.
func parseList(name string, data []byte) (platformapi.HostList, error) {
	var list platformapi.HostList
	if !strings.HasSuffix(name, ".json") {
		var generic map[string]any
		if err := toml.Unmarshal(data, &generic); err != nil {
			return list, fmt.Errorf("host list %s: %w", name, err)
		}
		var err error
		if data, err = json.Marshal(generic); err != nil {
			return list, fmt.Errorf("host list %s: %w", name, err)
		}
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return list, fmt.Errorf("host list %s: %w", name, err)
	}
	return list, checkList(list)
}

// followFile polls the host list file until ctx is done and replaces the list
// when the content differs from last. If the file cannot be read or parsed, the
// list is kept unchanged.
func (h *hostList) followFile(ctx context.Context, name string, last []byte) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			data, err := os.ReadFile(name)
			if err != nil || string(data) == string(last) {
				if err != nil && !errors.Is(err, os.ErrNotExist) {
					logrus.WithError(err).Warn("host list file cannot be read")
				}
				continue
			}
			last = data
			list, err := parseList(name, data)
			if err != nil {
				logrus.WithError(err).Warn("host list file is not valid")
				continue
			}
			h.set(now, list)
		}
	}
}
