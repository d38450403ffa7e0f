package front

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// retryFirst is the first pause after a failed call of the store, for a
	// connection that was closed. Where others wait for this node it doubles up to
	// retryEager. Elsewhere it grows by retryGrowth up to retryMost: those nodes try
	// again when a peer shows that the store is back.
	retryFirst  = 60 * time.Millisecond
	retryEager  = 250 * time.Millisecond
	retryGrowth = 16
	retryMost   = 4 * time.Second
	// callFirst bounds a call that the store does not hold back. The bound doubles
	// callSteps times and begins anew: a call that a silent store has swallowed is
	// given up soon after the store is back, and a slow store still answers.
	callFirst = 400 * time.Millisecond
	callSteps = 3
	// retryNews is the least time after a failed call until news of a peer end the
	// pause: the store refuses this node only, and the peer knows of a change.
	retryNews = time.Second
	// outageAfter is the time without an answer after which the store counts as
	// lost. Rows that vanish right after an outage may have lapsed.
	outageAfter = 1500 * time.Millisecond
)

// follower keeps a copy of one table up to date. It is one goroutine.
type follower struct {
	store Store
	table Table
	log   *telemetry.EventLog
	// wait is how long the store may hold a call back until there is news.
	wait time.Duration
	// due reports whether the table should be read now, and if not, when to ask
	// again. It is nil for tables that are always followed.
	due func(now time.Time, revision int64) (bool, time.Duration)
	// replace takes over a whole table; apply takes over changes. outage is
	// true for the first answer after the store was lost.
	replace func(rows Rows, outage bool)
	apply   func(rows Rows, outage bool)
	// onRead is called after each answer, onBack before that after the first one
	// that follows a failed call; both may be nil.
	onRead, onBack func()
	// eager reports whether other nodes wait for this one's answers.
	eager func(now time.Time) bool
	// wake asks for a call now.
	wake chan struct{}
	// retry ends a pause.
	retry chan struct{}

	// lock is held while changes are taken over, whether this follower or a peer
	// has read them, and while revision is moved.
	lock sync.Mutex
	// revision is how far the table has been read.
	revision atomic.Int64
	// failing is set while calls fail.
	failing atomic.Bool
	// answered is the time of the newest answer and called that of the newest call,
	// in Unix nanoseconds.
	answered, called atomic.Int64

	mu sync.Mutex
	// abandon ends the call under way; nil between calls. It is guarded by mu.
	abandon context.CancelCauseFunc
}

// errAskAgain ends a call whose answer may never arrive.
var errAskAgain = errors.New("the store answers again, the call is made anew")

// age is the time since the newest answer of the store.
func (f *follower) age(now time.Time) time.Duration {
	at := f.answered.Load()
	if at == 0 {
		return time.Hour
	}
	return now.Sub(time.Unix(0, at))
}

// nudge makes the follower read at once.
func (f *follower) nudge() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) run(ctx context.Context) {
	backoff := retryFirst
	var since time.Time // start of the present series of failed calls
	lost := false
	failed := 0 // calls of that series
	for ctx.Err() == nil {
		if wait, ok := f.mustRead(time.Now()); !ok {
			f.sleep(ctx, wait)
			continue
		}
		revision := f.revision.Load()
		f.called.Store(time.Now().UnixNano())
		rows, err := f.read(ctx, revision, failed)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errAskAgain):
			continue
		case errors.Is(err, ErrHistoryGone):
			f.revision.Store(0)
			continue
		case err != nil:
			failed++
			if since.IsZero() {
				since = now
				f.failing.Store(true)
			}
			if !lost && now.Sub(since) > outageAfter {
				lost = true
				f.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": f.table}, "the store does not answer")
			}
			f.pause(ctx, backoff)
			backoff = nextPause(backoff, f.eager != nil && f.eager(now))
			continue
		}
		if lost {
			f.log.Log(logrus.InfoLevel, telemetry.EventStoreBack, logrus.Fields{"table": f.table, "outage_ms": now.Sub(since).Milliseconds()}, "the store answers again")
		}
		f.lock.Lock()
		switch {
		case rows.Revision < f.revision.Load(): // a peer has told of more meanwhile
		case revision == 0:
			f.replace(rows, lost)
		case len(rows.Rows) > 0:
			f.apply(rows, lost)
		}
		f.revision.Store(max(rows.Revision, f.revision.Load()))
		f.lock.Unlock()
		back := !since.IsZero()
		since, lost, backoff, failed = time.Time{}, false, retryFirst, 0
		f.failing.Store(false)
		f.answered.Store(now.UnixNano())
		if back && f.onBack != nil {
			f.onBack()
		}
		if f.onRead != nil {
			f.onRead()
		}
	}
}

// nextPause is the pause after a further failed call.
func nextPause(last time.Duration, eager bool) time.Duration {
	if eager {
		return min(2*last, retryEager)
	}
	return min(retryGrowth*last, retryMost)
}

func (f *follower) mustRead(now time.Time) (time.Duration, bool) {
	if f.due == nil || f.revision.Load() == 0 {
		return 0, true
	}
	ok, wait := f.due(now, f.revision.Load())
	return wait, ok
}

// callTimeout is the bound of a call after some failed ones.
func callTimeout(failed int) time.Duration { return callFirst << (failed % callSteps) }

func (f *follower) read(ctx context.Context, revision int64, failed int) (Rows, error) {
	if revision == 0 || f.wait == 0 {
		bound, cancel := context.WithTimeout(ctx, callTimeout(failed))
		defer cancel()
		ctx = bound
	}
	if revision == 0 {
		return f.store.List(ctx, f.table)
	}
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	f.setAbandon(abandon)
	defer f.setAbandon(nil)
	rows, err := f.store.Follow(ctx, f.table, revision, f.wait)
	if err != nil && errors.Is(context.Cause(ctx), errAskAgain) {
		err = errAskAgain
	}
	return rows, err
}

func (f *follower) setAbandon(abandon context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandon = abandon
}

// askAgain makes the call under way anew and ends a pause. A call that the store
// holds back looks the same as one whose connection went silent; it is made anew
// when another call of this node has just found the store back.
func (f *follower) askAgain() {
	f.mu.Lock()
	if f.abandon != nil {
		f.abandon(errAskAgain)
	}
	f.mu.Unlock()
	f.retryNow()
}

// pause waits after a failed call. News of changes do not shorten it, but an
// answer to another call of this node does.
func (f *follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-f.retry:
	case <-ctx.Done():
	}
}

// retryForNews ends a pause because a peer knows of a change that this node has
// not read.
func (f *follower) retryForNews(now time.Time) {
	if f.failing.Load() && now.Sub(time.Unix(0, f.called.Load())) >= retryNews {
		f.retryNow()
	}
}

// retryNow ends a pause, since the store answers again.
func (f *follower) retryNow() {
	select {
	case f.retry <- struct{}{}:
	default:
	}
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}
