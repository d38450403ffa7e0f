package serverlimit

import (
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// A brittle server falls over if it has to reject more than a number of requests in a
// second for want of room, from all hosts together, and may let fewer requests wait than
// before.
//
// Load pattern: more requests arrive than the servers have room for. Hosts that each choose
// the server with the lowest load choose the same one at the same moment, and what it
// rejects goes to the next server. The owner of a server therefore grants each request to
// it, as many at the same time as there are slots. A grant is a lease: it ends when its host
// says that the request has ended, or after leaseTTL. A new owner does not know the leases
// of the one before, and a request may lack memory: such a request may be rejected. It is
// granted only if all grants at risk and all rejections of the last second stay within the
// bound. Grants at risk count whether or not their outcome becomes known, since the news may
// be late or lost.

const (
	// rejectionWindow is the time in which a brittle server counts rejections.
	rejectionWindow = time.Second
	// doubtTime is how long a slot is left free after a rejection. A request was rejected
	// although a slot was granted to it, so that something unknown uses one: hosts that
	// take another one for the owner, for example.
	doubtTime = 5 * time.Second
	// leaseTTL is how long a lease lasts if its end does not become known. Calls last less;
	// the runs on engines are known to all hosts.
	leaseTTL = 2 * time.Second
	// learningTime is the time after the first request in which the owner does not know
	// what the one before has granted.
	learningTime = 500 * time.Millisecond
	// runDelay is the time after which a granted request is sent, and a run on an engine is
	// known to all hosts.
	runDelay    = 100 * time.Millisecond
	slotReserve = 16
	// rejectionShare is the part of the bound that is used, since news of a rejection may
	// be lost.
	rejectionShare = 0.75
	// fullDenial is the time after which a request may be tried again that found no free
	// slot. It is about the time that a request to a plain service runs.
	fullDenial = 30 * time.Millisecond
)

// BrittleRequest describes a request to a brittle server to its owner.
type BrittleRequest struct {
	// MaxRejected is the number of requests in a second that the server may reject.
	MaxRejected float64
	Slots       int
	// Share is the part of both that the hosts may use which reach the owner; see Share.
	Share float64
	// Host is the host that asks, and Sent the number of its requests on the server.
	Host ident.HostID
	Sent int
	// Runs is the number of runs on the server that the owner knows; 0 for plain services.
	Runs int
	// Fits reports whether the sender expects the request to fit into the server's memory.
	Fits bool
}

// Rejections grants requests to the brittle servers that a host owns, and counts the
// rejections of brittle servers. The zero value is ready to use.
type Rejections struct {
	mu      sync.Mutex
	servers map[Server]*brittle // guarded by mu
}

// brittle is what is known of one server. The times are in ascending order.
type brittle struct {
	rejected []time.Time // rejections in the last doubtTime
	risky    []time.Time // grants at risk in the last rejectionWindow
	leases   map[ident.HostID][]time.Time
	sent     map[ident.HostID]int    // as the hosts have said in learningTime
	released map[ident.HostID]uint64 // number of the latest release
	firstAt  time.Time               // first request
	usedAt   time.Time
}

func (r *Rejections) server(now time.Time, id Server) *brittle {
	b := r.servers[id]
	if b == nil {
		b = &brittle{leases: map[ident.HostID][]time.Time{}, sent: map[ident.HostID]int{}, released: map[ident.HostID]uint64{}}
		if r.servers == nil {
			r.servers = map[Server]*brittle{}
		}
		r.servers[id] = b
	}
	b.usedAt = now
	b.rejected = since(b.rejected, now.Add(-doubtTime))
	b.risky = since(b.risky, now.Add(-rejectionWindow))
	for host, times := range b.leases {
		if times = since(times, now.Add(-leaseTTL)); len(times) > 0 {
			b.leases[host] = times
		} else {
			delete(b.leases, host)
		}
	}
	return b
}

// since returns the times after a time.
func since(times []time.Time, at time.Time) []time.Time {
	for i, t := range times {
		if t.After(at) {
			return times[i:]
		}
	}
	return nil
}

// Record records that a server has rejected a request of any host.
func (r *Rejections) Record(now time.Time, id Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.server(now, id)
	b.rejected = append(b.rejected, now)
}

// Release ends a lease of a host. number increases with each release of the host; a second
// copy of a release, and one that was overtaken by a later one, have no effect.
func (r *Rejections) Release(now time.Time, id Server, host ident.HostID, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.server(now, id)
	if number <= b.released[host] {
		return
	}
	b.released[host] = number
	if times := b.leases[host]; len(times) > 0 {
		b.leases[host] = times[1:]
	}
	if b.sent[host] > 0 {
		b.sent[host]--
	}
}

// Take decides on one request to a brittle server.
func (r *Rejections) Take(now time.Time, id Server, x BrittleRequest) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.server(now, id)
	if b.firstAt.IsZero() {
		b.firstAt = now
	}
	b.dropEnded(now, x.Host, x.Sent)
	learning := now.Sub(b.firstAt) < learningTime
	if learning {
		b.sent[x.Host] = max(x.Sent, len(b.leases[x.Host]))
	} else {
		clear(b.sent)
	}
	if b.expected(now, x.Runs) >= x.usableSlots()-len(b.rejected) {
		return Decision{Free: fullDenial, Turn: fullDenial}
	}
	if learning || !x.Fits {
		if len(b.recentlyRejected(now))+len(b.risky) >= x.bound() {
			free := b.nextChance(now)
			return Decision{Free: free, Turn: free}
		}
		b.risky = append(b.risky, now)
	}
	b.leases[x.Host] = append(b.leases[x.Host], now)
	return Decision{Granted: true}
}

// dropEnded drops the leases of a host whose end has not become known: the host says how
// many of its requests run, which covers all leases but the latest.
func (b *brittle) dropEnded(now time.Time, host ident.HostID, sent int) {
	times := b.leases[host]
	older := len(times) - len(since(times, now.Add(-runDelay)))
	if older > sent {
		b.leases[host] = times[older-sent:]
	}
}

// usableSlots returns the number of slots that may be granted. One in slotReserve is left
// free, at least one of several: a request of a host whose end is reported too early, or that
// two hosts have granted while the owner changes, then finds room.
func (x BrittleRequest) usableSlots() int {
	slots := int(x.Share * float64(x.Slots))
	if slots <= 1 {
		return slots
	}
	return slots - max(1, slots/slotReserve)
}

// bound returns the number of requests that may be at risk in rejectionWindow.
func (x BrittleRequest) bound() int {
	if x.Share*x.MaxRejected < 1 {
		return 0
	}
	return max(1, int(rejectionShare*x.Share*x.MaxRejected))
}

// expected returns the number of requests that the server is expected to have. runs is the
// number of runs that are known, without the latest ones.
func (b *brittle) expected(now time.Time, runs int) int {
	leased, recent, sent := 0, 0, 0
	for host, times := range b.leases {
		leased += max(len(times), b.sent[host])
		recent += len(since(times, now.Add(-runDelay)))
	}
	for host, n := range b.sent {
		if len(b.leases[host]) == 0 {
			sent += n
		}
	}
	if runs > 0 {
		return max(leased+sent, runs+recent)
	}
	return leased + sent
}

func (b *brittle) recentlyRejected(now time.Time) []time.Time {
	return since(b.rejected, now.Add(-rejectionWindow))
}

// nextChance returns the time until a rejection or a grant at risk ceases to count.
func (b *brittle) nextChance(now time.Time) time.Duration {
	first := now
	for _, times := range [][]time.Time{b.recentlyRejected(now), b.risky} {
		if len(times) > 0 && times[0].Before(first) {
			first = times[0]
		}
	}
	return max(fullDenial, first.Add(rejectionWindow).Sub(now))
}

// Expire removes the servers that were not used for unusedTTL.
func (r *Rejections) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, b := range r.servers {
		if now.Sub(b.usedAt) > unusedTTL {
			delete(r.servers, id)
		}
	}
}
