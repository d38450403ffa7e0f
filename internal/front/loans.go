package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/mesh"
)

const (
	// loanTimeout is how long a request for a loan waits for the answer of one peer. A
	// round trip takes a few milliseconds.
	loanTimeout = 40 * time.Millisecond
	// maxLenders is the maximum number of peers that are asked for one loan.
	maxLenders = 8
	// loanSize is the number of retries that are requested at once. What is not used is
	// lost to all hosts.
	loanSize = 1
	// lenderChoices is the number of random peers of which the one with the most spare
	// retries is asked.
	lenderChoices = 3
	// loanPause is the time without requests for loans after maxLenders peers refused.
	loanPause = 60 * time.Millisecond
)

// loanTable holds the requests for loans that wait for the number of retries lent.
type loanTable struct {
	pendingAnswers[int]

	pauseMu     sync.Mutex
	pausedUntil time.Time // guarded by pauseMu
}

func (t *loanTable) paused(now time.Time) bool {
	t.pauseMu.Lock()
	defer t.pauseMu.Unlock()
	return now.Before(t.pausedUntil)
}

func (t *loanTable) pause(now time.Time) {
	t.pauseMu.Lock()
	defer t.pauseMu.Unlock()
	t.pausedUntil = now.Add(loanPause)
}

// borrow asks up to maxLenders peers for retries to a service and reports whether one
// of them lent some. The gateway calls it when this node has used up its own share.
func (n *Node) borrow(ctx context.Context, service string) bool {
	if n.loans.paused(time.Now()) {
		return false
	}
	var asked []ident.HostID
	for range maxLenders {
		lender, ok := n.chooseLender(service, asked)
		if !ok {
			break
		}
		if n.borrowFrom(ctx, lender, service) > 0 {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		asked = append(asked, lender.Host)
	}
	n.loans.pause(time.Now())
	return false
}

// chooseLender returns the one of lenderChoices random peers that has the most retries to
// spare according to its latest heartbeat. The random choice spreads the requests of hosts
// that need loans at the same moment.
func (n *Node) chooseLender(service string, asked []ident.HostID) (best mesh.Member, ok bool) {
	peers := slices.DeleteFunc(n.mesh.Alive(time.Now()), func(m mesh.Member) bool {
		return m.Mesh == "" || slices.Contains(asked, m.Host) || n.gateway.Budgets.Spare(m.Usage[service]) < 1
	})
	if len(peers) == 0 {
		return best, false
	}
	best = peers[rand.IntN(len(peers))]
	for range lenderChoices - 1 {
		other := peers[rand.IntN(len(peers))]
		if n.gateway.Budgets.Spare(other.Usage[service]) > n.gateway.Budgets.Spare(best.Usage[service]) {
			best = other
		}
	}
	return best, true
}

// borrowFrom asks one peer and returns the number of retries that it lent.
func (n *Node) borrowFrom(ctx context.Context, lender mesh.Member, service string) int {
	number, answer := n.loans.open()
	defer n.loans.close(number)
	n.mesh.RequestLoan(lender, mesh.Loan{Service: service, Number: number, Retries: loanSize})
	timeout := time.NewTimer(loanTimeout)
	defer timeout.Stop()
	select {
	case retries := <-answer:
		return retries
	case <-timeout.C:
	case <-ctx.Done():
	}
	return 0
}

// onLoan handles the answer to a request for a loan. An answer after loanTimeout or to
// an earlier incarnation of this node, and a second copy of an answer, are ignored.
func (n *Node) onLoan(now time.Time, x mesh.Loan) {
	answer := n.loans.close(x.Number)
	if answer == nil {
		return
	}
	retries := min(max(x.Retries, 0), loanSize)
	n.gateway.Budgets.AddLoan(now, x.Service, retries)
	answer <- retries
}
