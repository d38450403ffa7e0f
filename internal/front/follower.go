package front

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// retryFirst and retryMost are the pauses after failed calls of the store.
	retryFirst = 60 * time.Millisecond
	retryMost  = 250 * time.Millisecond
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
	// pause is the time between calls, for tables that always have news.
	pause time.Duration
	// replace takes over a whole table; apply takes over changes. outage is
	// true for the first answer after the store was lost.
	replace func(rows []Row, outage bool)
	apply   func(rows []Row, outage bool)
	// wake asks for a call now.
	wake chan struct{}

	// answered is the time of the newest answer in Unix nanoseconds.
	answered atomic.Int64
}

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
	revision := int64(0)
	backoff := retryFirst
	last := time.Now()
	lost := false
	for ctx.Err() == nil {
		rows, err := f.read(ctx, revision)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			revision = 0
			continue
		case err != nil:
			if !lost && now.Sub(last) > outageAfter {
				lost = true
				f.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": f.table}, "the store does not answer")
			}
			f.sleep(ctx, backoff)
			backoff = min(2*backoff, retryMost)
			continue
		}
		outage := lost || now.Sub(last) > outageAfter+f.wait
		if lost {
			f.log.Log(logrus.InfoLevel, telemetry.EventStoreBack, logrus.Fields{"table": f.table, "outage_ms": now.Sub(last).Milliseconds()}, "the store answers again")
		}
		last, lost, backoff = now, false, retryFirst
		if revision == 0 {
			f.replace(rows.Rows, outage)
		} else if len(rows.Rows) > 0 {
			f.apply(rows.Rows, outage)
		}
		revision = max(rows.Revision, revision)
		f.answered.Store(now.UnixNano())
		f.sleep(ctx, f.pause)
	}
}

func (f *follower) read(ctx context.Context, revision int64) (Rows, error) {
	if revision == 0 {
		return f.store.List(ctx, f.table)
	}
	return f.store.Follow(ctx, f.table, revision, f.wait)
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
