package front

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/suspension"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// retryInitial is the delay before the first retry of a failed store call. It is
	// short, since the call may have failed only because its connection was closed.
	// On the reader, on which the other nodes depend, the delay doubles up to
	// retryMaxReader. On all other nodes it is multiplied by retryFactor up to
	// retryMax; those nodes retry early when a peer's heartbeat shows that the store
	// answers again.
	retryInitial   = 60 * time.Millisecond
	retryMaxReader = 250 * time.Millisecond
	retryFactor    = 16
	retryMax       = 4 * time.Second
	// callTimeoutMin is the timeout of the first attempt of a call that is not a
	// long poll. On consecutive failures the timeout takes callTimeoutSteps values,
	// each twice the previous one, and then starts again at callTimeoutMin. With the
	// short values, a call to an unresponsive store is abandoned soon after the store
	// has recovered; with the long ones, a slow store has time to answer.
	callTimeoutMin   = 400 * time.Millisecond
	callTimeoutSteps = 3
	// peerRetryDelay is the minimum time between the start of a failed call and an
	// early retry that a peer's heartbeat triggers. This happens when the store
	// rejects only this node and the peer has read a change.
	peerRetryDelay = time.Second
	// storeLostAfter is the duration of a series of failed calls after which the
	// store counts as lost. Rows that disappear right after an outage may have
	// lapsed because their owners could not renew them.
	storeLostAfter = 1500 * time.Millisecond
)

// follower keeps a local copy of one store table up to date. Its run method is
// the only goroutine that calls the store; the other methods may be called from
// any goroutine.
type follower struct {
	store Store
	table Table
	log   *telemetry.EventLog
	// pollWait is how long the store may hold a Follow call open until a row
	// changes (long polling). With 0 the store answers at once.
	pollWait time.Duration
	// changePause is how long the follower waits after it has applied a change, so that
	// changes in quick succession cost one call together.
	changePause time.Duration
	// due reports whether the table should be read now and, if not, how long to
	// wait before due is called again. It is nil for tables that are always
	// followed.
	due func(now time.Time, position ident.StorePosition) (bool, time.Duration)
	// prepare is called before the first listing is installed. It may be nil.
	prepare func()
	// replace installs a full listing of the table; apply applies changed rows. Both are
	// called with applyMu held.
	replace func(rows Rows, c readContext)
	apply   func(rows Rows, c readContext)
	// onRead is called after every answer. onRecovered is called before onRead
	// for the first answer after a failed call. Both may be nil.
	onRead, onRecovered func()
	// isReader reports whether this node is the reader, whose answers the other
	// nodes wait for. It may be nil.
	isReader func(now time.Time) bool
	// wake ends a wait for the table to become due.
	wake chan struct{}
	// retry ends the backoff after a failed call.
	retry chan struct{}

	// applyMu is held while changes are applied, whether they were read by this
	// follower or received from a peer, and while position advances.
	applyMu sync.Mutex
	// position is the position in the store up to which the table has been read; zero
	// if it has not been read yet.
	position atomicPosition
	// listNext is set if the table must be listed in full.
	listNext atomic.Bool
	// failing is true while calls fail.
	failing atomic.Bool
	// lastAnswer and lastCall are the times of the latest answer and of the start
	// of the latest call.
	lastAnswer, lastCall atomicTime
	// suspendedAtAnswer is the time for which the host had been suspended, in nanoseconds,
	// when the call began whose answer is the latest; see package suspension.
	suspendedAtAnswer atomic.Int64

	invalidEras tally.Counter // nil in tests
	eraReported bool          // an invalid era has been logged; guarded by applyMu

	mu sync.Mutex
	// cancelCall cancels the Follow call in progress; nil if there is none.
	// Guarded by mu.
	cancelCall context.CancelCauseFunc
}

// readContext describes the circumstances of an answer of the store.
type readContext struct {
	// outage is set for the first answer after the store was lost.
	outage bool
	// restored is set for the first answer of a new era: the store has lost its latest
	// changes. A store that begins to state its era has not.
	restored bool
}

// errCallRestarted is the cancellation cause of a Follow call that is sent again
// because its answer may never arrive.
var errCallRestarted = errors.New("store call restarted because the store answers again")

// age returns the time since the latest answer of the store, or one hour if there
// has been none.
func (f *follower) age(now time.Time) time.Duration {
	return min(time.Hour, f.lastAnswer.since(now))
}

// readNow ends a wait for the table to become due, so that due is checked again
// at once. It does not shorten the backoff after a failed call.
func (f *follower) readNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) run(ctx context.Context) {
	backoff := retryInitial
	var failingSince time.Time // start of the current series of failed calls
	lost := false
	failed := 0 // number of failed calls in the series
	for ctx.Err() == nil {
		if wait, ok := f.shouldRead(time.Now()); !ok {
			f.sleep(ctx, wait)
			continue
		}
		position, list := f.position.Load(), f.mustList()
		f.lastCall.Store(time.Now())
		suspended := suspension.Total()
		rows, err := f.read(ctx, position, list, failed)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errCallRestarted):
			continue
		case errors.Is(err, ErrHistoryGone):
			f.listNext.Store(true)
			continue
		case err != nil:
			failed++
			if failingSince.IsZero() {
				failingSince = now
				f.failing.Store(true)
			}
			if !lost && now.Sub(failingSince) > storeLostAfter {
				lost = true
				f.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": f.table}, "store is not answering")
			}
			f.pause(ctx, backoff)
			backoff = nextBackoff(backoff, f.isReader != nil && f.isReader(now))
			continue
		}
		// The last failed call may have ended long before: the pauses between calls grow.
		outage := !failingSince.IsZero() && now.Sub(failingSince) > storeLostAfter
		if outage {
			f.log.Log(logrus.InfoLevel, telemetry.EventStoreBack, logrus.Fields{"table": f.table, "outage_ms": now.Sub(failingSince).Milliseconds()}, "store is answering again")
		}
		if f.prepare != nil && position.IsZero() {
			f.prepare()
		}
		f.install(rows, list, outage)
		recovered := !failingSince.IsZero()
		failingSince, lost, backoff, failed = time.Time{}, false, retryInitial, 0
		f.failing.Store(false)
		f.lastAnswer.Store(now)
		f.suspendedAtAnswer.Store(int64(suspended))
		if recovered && f.onRecovered != nil {
			f.onRecovered()
		}
		if f.onRead != nil {
			f.onRead()
		}
		if len(rows.Rows) > 0 && !list {
			f.sleep(ctx, f.changePause)
		}
	}
}

// mustList reports whether the table must be listed in full.
func (f *follower) mustList() bool { return f.listNext.Load() || f.position.Load().IsZero() }

// install applies an answer of the store. list is set for a full listing, and outage
// for the first answer after the store was lost. An answer is ignored if changes
// received from a peer have advanced the position past it.
func (f *follower) install(rows Rows, list, outage bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.reportEra(rows.InvalidEra)
	position := f.position.Load()
	if rows.Position.Before(position) {
		return
	}
	c := readContext{outage: outage, restored: position.Era > 0 && rows.Position.Era > position.Era}
	if c.restored {
		f.log.Log(logrus.WarnLevel, telemetry.EventStoreBack, logrus.Fields{
			"table": f.table, "era": rows.Position.Era, "revision": rows.Position.Revision, "previous_era": position.Era, "previous_revision": position.Revision,
		}, "store was restored from an older copy")
	}
	switch {
	case list:
		f.replace(rows, c)
		f.listNext.Store(false)
	default:
		if rows.Rows = changedAfter(rows.Rows, position); len(rows.Rows) > 0 {
			f.apply(rows, c)
		}
	}
	f.position.Store(rows.Position)
}

// changedAfter returns the rows that were changed after a position. Changes received from a
// peer while a call was in progress may be in its answer too, and a removal among them must
// not undo a later return of the row.
func changedAfter(rows []Row, position ident.StorePosition) []Row {
	var later []Row
	for _, r := range rows {
		if r.Version == 0 || r.Version > position.Revision {
			later = append(later, r)
		}
	}
	return later
}

// reportEra counts an invalid era, and logs the first one. The lock applyMu is held.
func (f *follower) reportEra(value string) {
	if value == "" {
		return
	}
	if f.invalidEras != nil {
		f.invalidEras.Inc(1)
	}
	if !f.eraReported {
		f.eraReported = true
		f.log.Log(logrus.WarnLevel, telemetry.EventStoreBack, logrus.Fields{"table": f.table, "value": value}, "invalid era of the store ignored")
	}
}

// nextBackoff returns the delay that follows last in a series of failed calls.
func nextBackoff(last time.Duration, reader bool) time.Duration {
	if reader {
		return min(2*last, retryMaxReader)
	}
	return min(retryFactor*last, retryMax)
}

func (f *follower) shouldRead(now time.Time) (time.Duration, bool) {
	if f.due == nil || f.mustList() {
		return 0, true
	}
	ok, wait := f.due(now, f.position.Load())
	return wait, ok
}

// callTimeout returns the timeout of a call that follows the given number of
// consecutive failures.
func callTimeout(failed int) time.Duration { return callTimeoutMin << (failed % callTimeoutSteps) }

// read makes one call. After a failed call the store is asked to answer at once, with a short
// timeout: a store that is away may receive a call and never answer it.
func (f *follower) read(ctx context.Context, position ident.StorePosition, list bool, failed int) (Rows, error) {
	wait := f.pollWait
	if failed > 0 {
		wait = 0
	}
	if list || wait == 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, callTimeout(failed))
		defer cancel()
		ctx = timeoutCtx
	}
	if list {
		return f.store.List(ctx, f.table)
	}
	ctx, cancelCall := context.WithCancelCause(ctx)
	defer cancelCall(nil)
	f.setCancelCall(cancelCall)
	defer f.setCancelCall(nil)
	rows, err := f.store.Follow(ctx, f.table, position, wait)
	if err != nil && errors.Is(context.Cause(ctx), errCallRestarted) {
		err = errCallRestarted
	}
	return rows, err
}

func (f *follower) setCancelCall(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelCall = cancel
}

// restartCall repeats a Follow call that is in progress and ends a backoff. A call
// that the store holds open cannot be distinguished from one whose connection is
// dead, so the call is repeated when an answer to another call of this node shows
// that the store has recovered.
func (f *follower) restartCall() {
	f.mu.Lock()
	if f.cancelCall != nil {
		f.cancelCall(errCallRestarted)
	}
	f.mu.Unlock()
	f.retryNow()
}

// pause waits for the backoff d after a failed call. readNow does not shorten it;
// retryNow does.
func (f *follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-f.retry:
	case <-ctx.Done():
	}
}

// retryOnPeerChange ends the backoff because a peer reports a change that this
// node has not read. It does nothing unless calls are failing and the latest call
// was started at least peerRetryDelay ago.
func (f *follower) retryOnPeerChange(now time.Time) {
	if f.failing.Load() && f.lastCall.since(now) >= peerRetryDelay {
		f.retryNow()
	}
}

// retryNow ends the backoff after a failed call, since the store answers again. If
// no backoff is in progress, the next one ends at once.
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
