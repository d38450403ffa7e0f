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

// Times of the address cache.
const (
	addressTimeout = time.Second     // for one question to one node
	avoidTime      = 5 * time.Second // an address is avoided after a failure
)

// addressBook caches the nodes' answer about their addresses.
type addressBook struct {
	client *http.Client
	seeds  []string // addresses known from the start

	mu sync.Mutex
	// The fields below are guarded by mu.
	list    []string
	expires time.Time
	failed  map[string]time.Time // when the address failed
}

func newAddressBook(client *http.Client, seeds []string) *addressBook {
	return &addressBook{client: client, seeds: seeds, failed: map[string]time.Time{}}
}

// pick returns the address to use now. With avoid, the address that has just
// failed, it returns another one if there is one, and asks the nodes for their
// addresses only if none is left, because the caller is waiting for its answer
// to go on.
func (b *addressBook) pick(ctx context.Context, avoid string) (string, error) {
	address, ok := b.choose(avoid)
	if avoid != "" && ok {
		return address, nil
	}
	if !b.fresh(time.Now()) || !ok {
		b.refresh(ctx)
		address, _ = b.choose(avoid)
	}
	if address == "" {
		return "", errors.New("no address of a node is known")
	}
	return address, nil
}

// choose returns the first address without a failure of late, or, with ok
// false, the one whose failure is longest ago.
func (b *addressBook) choose(avoid string) (address string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	candidates := slices.Concat(b.list, b.seeds)
	if others := slices.DeleteFunc(slices.Clone(candidates), func(a string) bool { return a == avoid }); len(others) > 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(x, y string) int {
		return b.recentFailure(now, x).Compare(b.recentFailure(now, y))
	})
	return best, best != avoid && b.recentFailure(now, best).IsZero()
}

// recentFailure returns when a node failed, or zero if that is long ago. It
// requires mu.
func (b *addressBook) recentFailure(now time.Time, node string) time.Time {
	if at, ok := b.failed[node]; ok && now.Sub(at) < avoidTime {
		return at
	}
	return time.Time{}
}

func (b *addressBook) fresh(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.expires)
}

// fail notes that a node did not serve a request.
func (b *addressBook) fail(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[address] = time.Now()
}

// replace takes addresses from an error's body.
func (b *addressBook) replace(addresses []callerapi.Address) {
	if len(addresses) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = plain(addresses)
}

func plain(addresses []callerapi.Address) []string {
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		out = append(out, a.Address)
	}
	return out
}

// refresh asks the known nodes one after the other until one answers.
func (b *addressBook) refresh(ctx context.Context) {
	b.mu.Lock()
	nodes := slices.Concat(b.list, b.seeds)
	now := time.Now()
	slices.SortStableFunc(nodes, func(x, y string) int {
		return b.recentFailure(now, x).Compare(b.recentFailure(now, y))
	})
	b.mu.Unlock()
	for _, node := range slices.Compact(nodes) {
		answer, err := b.ask(ctx, node)
		if err != nil || len(answer.Addresses) == 0 {
			b.fail(node)
			continue
		}
		b.mu.Lock()
		b.list = plain(answer.Addresses)
		b.expires = time.Now().Add(time.Duration(answer.LifetimeSeconds) * time.Second)
		b.mu.Unlock()
		return
	}
}

func (b *addressBook) ask(ctx context.Context, node string) (callerapi.Addresses, error) {
	var answer callerapi.Addresses
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+callerapi.RouteAddresses, nil)
	if err != nil {
		return answer, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("node %s: status %d", node, resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}
