package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// Timeouts of the address cache.
const (
	// addressTimeout is the timeout of one request for addresses to one node.
	addressTimeout = time.Second
	// avoidDuration is the time for which an address is avoided after a failure.
	avoidDuration = 5 * time.Second
)

// addressCache caches the addresses that the nodes return and the time of the last
// failure of each. It is safe for concurrent use.
type addressCache struct {
	client *http.Client
	seeds  []string // addresses from the configuration

	mu sync.Mutex
	// The fields below are guarded by mu.
	cached  []string
	expires time.Time
	failed  map[string]time.Time // time of the last failure by address
}

func newAddressCache(client *http.Client, seeds []string) *addressCache {
	return &addressCache{client: client, seeds: seeds, failed: map[string]time.Time{}}
}

// pick returns the address for the next connection. avoid is the address of the
// connection that has just failed, or empty for the first connection. After a
// failure, pick returns another address if there is one. To keep the interruption
// short, it then uses expired addresses, and requests new ones from the nodes only
// if every other address has failed recently.
func (c *addressCache) pick(ctx context.Context, avoid string) (string, error) {
	address, ok := c.choose(avoid)
	if avoid != "" && ok {
		return address, nil
	}
	if !c.fresh(time.Now()) || !ok {
		c.refresh(ctx)
		address, _ = c.choose(avoid)
	}
	if address == "" {
		return "", errors.New("no address of a node is known")
	}
	return address, nil
}

// choose returns the first address without a recent failure or, with ok false, the
// one whose failure is the oldest. It returns avoid only if there is no other
// address, and then with ok false.
func (c *addressCache) choose(avoid string) (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	candidates := slices.Concat(c.cached, c.seeds)
	if others := slices.DeleteFunc(slices.Clone(candidates), func(a string) bool { return a == avoid }); len(others) > 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(x, y string) int {
		return c.recentFailure(now, x).Compare(c.recentFailure(now, y))
	})
	return best, best != avoid && c.recentFailure(now, best).IsZero()
}

// recentFailure returns the time of the last failure of an address, or the zero
// time if there was none in the last avoidDuration. The caller must hold mu.
func (c *addressCache) recentFailure(now time.Time, address string) time.Time {
	if at, ok := c.failed[address]; ok && now.Sub(at) < avoidDuration {
		return at
	}
	return time.Time{}
}

// fresh reports whether the cached addresses have not expired.
func (c *addressCache) fresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.expires)
}

// markFailed records that the node at an address did not serve a request.
func (c *addressCache) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = time.Now()
}

// setAddresses replaces the cached addresses with those of an error response, if it
// has any.
func (c *addressCache) setAddresses(addresses []callerapi.Address) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = addressStrings(addresses)
}

func addressStrings(addresses []callerapi.Address) []string {
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		out = append(out, a.Address)
	}
	return out
}

// refresh requests addresses from the known nodes, one after the other, until one
// returns a list that is not empty. Nodes without a recent failure come first.
func (c *addressCache) refresh(ctx context.Context) {
	c.mu.Lock()
	nodes := slices.Concat(c.cached, c.seeds)
	now := time.Now()
	slices.SortStableFunc(nodes, func(x, y string) int {
		return c.recentFailure(now, x).Compare(c.recentFailure(now, y))
	})
	c.mu.Unlock()
	for _, node := range slices.Compact(nodes) {
		list, err := c.fetchAddresses(ctx, node)
		if err != nil || len(list.Addresses) == 0 {
			c.markFailed(node)
			continue
		}
		c.mu.Lock()
		c.cached = addressStrings(list.Addresses)
		c.expires = time.Now().Add(time.Duration(list.LifetimeSeconds) * time.Second)
		c.mu.Unlock()
		return
	}
}

// fetchAddresses requests the current addresses from one node.
func (c *addressCache) fetchAddresses(ctx context.Context, node string) (callerapi.Addresses, error) {
	var list callerapi.Addresses
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+callerapi.RouteAddresses, nil)
	if err != nil {
		return list, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("node %s: status %d", node, resp.StatusCode)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
