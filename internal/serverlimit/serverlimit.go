// Package serverlimit decides which requests may be sent to a server that limits the
// requests per second of all hosts together.
//
// Load pattern: a server in need names a limit that is far below what the hosts send to
// it, often below one request per second for each host. Divided among hundreds of hosts,
// the limit would leave each of them a request every few minutes, and none to those that
// have clients. One host, the owner of the server, therefore grants each request to it,
// and the others ask the owner before they send. The owner follows from the hosts that
// are alive, so that it needs no election and no store; a new owner begins with nothing
// to grant, since it does not know what the one before granted last.
//
// A Limiter is safe for concurrent use. Its methods take the current time as an argument
// and do no I/O.
package serverlimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// burstTime is the time whose requests may be granted at once after a pause, in
	// addition to one. Servers tolerate half of their limit more over some seconds.
	burstTime = 500 * time.Millisecond
	// maxTurn bounds the time until the turn of a refused request. Clients do not wait
	// longer.
	maxTurn = 10 * time.Second
	// unusedTTL is how long a server is remembered after the latest request for it.
	unusedTTL = time.Minute
)

// Server identifies one incarnation of a server.
type Server struct {
	ID          ident.BackendID
	Incarnation int64
}

// Decision is the answer to one request for permission to send.
type Decision struct {
	Granted bool `json:"g,omitempty"`
	// Free is the time until the server accepts a further request, and Turn the time
	// until it accepts this one, after those that were refused before. Both are set if
	// the request is refused.
	Free time.Duration `json:"f,omitempty"`
	Turn time.Duration `json:"t,omitempty"`
}

// Limiter grants requests to the servers that a host owns.
type Limiter struct {
	mu      sync.Mutex
	servers map[Server]*bucket // guarded by mu
}

// bucket is the token bucket of one server.
type bucket struct {
	limiter  *rate.Limiter
	lastTurn time.Time // latest turn given to a refused request
	usedAt   time.Time
}

// Take decides on one request to a server that accepts perSecond requests per second,
// which is above 0.
func (l *Limiter) Take(now time.Time, server Server, perSecond float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketOf(now, server, perSecond)
	if b.limiter.AllowN(now, 1) {
		return Decision{Granted: true}
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	free := time.Duration((1 - b.limiter.TokensAt(now)) * float64(interval))
	turn := now.Add(free)
	if next := b.lastTurn.Add(interval); next.After(turn) {
		turn = next
	}
	if latest := now.Add(max(free, maxTurn)); turn.After(latest) {
		turn = latest
	}
	b.lastTurn = turn
	return Decision{Free: free, Turn: max(free, turn.Sub(now))}
}

// bucketOf returns the bucket of a server, with its rate set to perSecond. The lock is
// held.
func (l *Limiter) bucketOf(now time.Time, server Server, perSecond float64) *bucket {
	burst := 1 + int(perSecond*burstTime.Seconds())
	b := l.servers[server]
	if b == nil {
		if l.servers == nil {
			l.servers = map[Server]*bucket{}
		}
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		b.limiter.AllowN(now, burst) // it begins empty
		l.servers[server] = b
	}
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, burst)
		b.lastTurn = time.Time{} // turns at the old rate
	}
	b.usedAt = now
	return b
}

// Expire removes the buckets of servers that were not used for unusedTTL.
func (l *Limiter) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, b := range l.servers {
		if now.Sub(b.usedAt) > unusedTTL {
			delete(l.servers, server)
		}
	}
}
