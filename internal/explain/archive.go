package explain

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/objects"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// DefaultObjectRate is the maximum number of objects that one node writes per
	// second.
	DefaultObjectRate = 5
	// deploymentObjectRate is the maximum number of objects that all nodes together
	// write per second. The store accepts several hundred per second from the whole
	// deployment.
	deploymentObjectRate = 50
	// writeInterval is the minimum time that a request stays queued, so that the
	// decisions that follow one loss are written as one object.
	writeInterval = time.Second
	// maxPending bounds the number of queued requests.
	maxPending = 4096
	// flushTimeout and maxFlushObjects bound the writes at the shutdown of the node.
	flushTimeout    = 2 * time.Second
	maxFlushObjects = 20
)

// ArchiveConfig holds the dependencies of an Archive.
type ArchiveConfig struct {
	Host    ident.HostID
	Objects objects.Store
	Store   *Store
	Traces  *Traces
	// Hosts returns the number of hosts in the deployment.
	Hosts  func() int
	Events *telemetry.EventLog
	Scope  tally.Scope
}

// Archive writes the decisions and traces of disturbed requests of its node to the
// object store, and reads those that other nodes wrote. Its methods may be called
// by any number of goroutines.
type Archive struct {
	config  ArchiveConfig
	limiter *rate.Limiter
	written tally.Counter
	failed  tally.Counter
	dropped tally.Counter

	mu sync.Mutex
	// pending and byKey are guarded by mu. pending holds pendingRequest values in
	// queue order, the oldest first.
	pending *list.List
	byKey   map[recordKey]*list.Element
}

type pendingRequest struct {
	key        recordKey
	enqueuedAt time.Time
}

// NewArchive returns an archive and registers it with OnChange of the store and of
// the traces. Run must be called to write objects.
func NewArchive(config ArchiveConfig) *Archive {
	a := &Archive{
		config:  config,
		limiter: rate.NewLimiter(DefaultObjectRate, DefaultObjectRate),
		written: telemetry.ExplainObjects.Counter(config.Scope, "written"),
		failed:  telemetry.ExplainObjects.Counter(config.Scope, "failed"),
		dropped: telemetry.RingDropped.Counter(config.Scope, "explain"),
		pending: list.New(),
		byKey:   map[recordKey]*list.Element{},
	}
	config.Store.OnChange(a.enqueue)
	config.Traces.OnChange(a.enqueue)
	return a
}

// enqueue queues a request for writing unless it is queued already. If the queue is
// full, the request that was queued first is dropped.
func (a *Archive) enqueue(team ident.Team, request ident.RequestID) {
	now := time.Now()
	a.mu.Lock()
	k := recordKey{team, request}
	if a.byKey[k] != nil {
		a.mu.Unlock()
		return
	}
	overflow := a.pending.Len() == maxPending
	if overflow {
		oldest := a.pending.Remove(a.pending.Front()).(pendingRequest)
		delete(a.byKey, oldest.key)
	}
	a.byKey[k] = a.pending.PushBack(pendingRequest{key: k, enqueuedAt: now})
	a.mu.Unlock()
	if overflow {
		a.dropped.Inc(1)
		a.config.Events.LogError(logrus.ErrorLevel, telemetry.EventExplainFailed,
			newError(CodeOverflow).Errorf("more than %d requests wait for the object store", maxPending), nil, "write queue is full; dropped the explanation of the oldest queued request")
	}
}

// dequeueDue removes and returns the request that was queued first, if it was
// queued at or before the given time.
func (a *Archive) dequeueDue(until time.Time) (recordKey, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.pending.Front()
	if first == nil {
		return recordKey{}, false
	}
	next := first.Value.(pendingRequest)
	if next.enqueuedAt.After(until) {
		return recordKey{}, false
	}
	a.pending.Remove(first)
	delete(a.byKey, next.key)
	return next.key, true
}

// Run writes queued requests until the context ends, and then flushes the rest of
// the queue within flushTimeout and maxFlushObjects.
func (a *Archive) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.flush(ctx)
			return
		case <-ticker.C:
			a.writeDue(ctx, time.Now().Add(-writeInterval))
		}
	}
}

// objectRate returns this node's share of the deployment's write rate, in objects
// per second.
func (a *Archive) objectRate() rate.Limit {
	return min(DefaultObjectRate, deploymentObjectRate/rate.Limit(max(1, a.config.Hosts())))
}

// writeDue writes the requests that were queued at or before the given time. It
// stops when a write fails, the rate limit is reached or no such request is left.
func (a *Archive) writeDue(ctx context.Context, until time.Time) {
	a.limiter.SetLimit(a.objectRate())
	for ctx.Err() == nil && a.limiter.Allow() {
		k, ok := a.dequeueDue(until)
		if !ok {
			return
		}
		if err := a.write(ctx, k); err != nil {
			a.handleWriteError(k, err)
			return
		}
	}
}

// flush writes up to maxFlushObjects objects without applying the rate limit, since
// a node that stops writes nothing afterwards.
func (a *Archive) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for range maxFlushObjects {
		k, ok := a.dequeueDue(time.Now())
		if !ok {
			return
		}
		if err := a.write(ctx, k); err != nil {
			a.failed.Inc(1)
			return
		}
	}
}

// handleWriteError queues the request again unless the object store rejected the
// object, because a rejected write would fail again.
func (a *Archive) handleWriteError(k recordKey, err error) {
	a.failed.Inc(1)
	a.config.Events.LogError(logrus.WarnLevel, telemetry.EventExplainFailed, err, logrus.Fields{
		telemetry.FieldRequest: k.request, telemetry.FieldTeam: k.team,
	}, "writing an explanation to the object store failed")
	if objects.CodeOf(err) != objects.CodeRejected {
		a.enqueue(k.team, k.request)
	}
}

// write merges the decisions and traces that this node holds for a request into the
// object. If two hosts of one slot write the same request at the same time, the
// content of one may be missing until either of them writes again.
func (a *Archive) write(ctx context.Context, k recordKey) error {
	record := DocumentRecord{Team: k.team}
	for _, r := range a.config.Store.Get(k.request) {
		if r.Team == k.team {
			record.Decisions = r.Decisions
		}
	}
	for _, t := range a.config.Traces.Get(k.request) {
		if t.Team == k.team {
			record.Traces = append(record.Traces, t)
		}
	}
	if len(record.Decisions)+len(record.Traces) == 0 {
		return nil // dropped from memory in the meantime
	}
	slot := slotOf(k.team, a.config.Host)
	document, err := a.read(ctx, k.request, slot)
	if err != nil && CodeOf(err) != CodeMalformed {
		return err
	}
	document.merge(Document{Records: []DocumentRecord{record}})
	content, err := document.encode()
	if err != nil {
		return err
	}
	if err := a.config.Objects.Put(ctx, objectName(k.request, slot), content); err != nil {
		return err
	}
	a.written.Inc(1)
	return nil
}

// read returns the content of one object, or an empty document if it does not exist.
func (a *Archive) read(ctx context.Context, request ident.RequestID, slot int) (Document, error) {
	empty := Document{Version: documentVersion, Request: request, Records: []DocumentRecord{}}
	content, err := a.config.Objects.Get(ctx, objectName(request, slot))
	if objects.CodeOf(err) == objects.CodeNotFound {
		return empty, nil
	}
	if err != nil {
		return empty, err
	}
	document, err := decodeDocument(content, request)
	if err != nil {
		return empty, err
	}
	return document, nil
}

// Load returns what all nodes stored for a request id. If an object cannot be read,
// it returns the content of the others together with an error.
func (a *Archive) Load(ctx context.Context, request ident.RequestID) (Document, error) {
	var documents [slotCount]Document
	var errs [slotCount]error
	var reads sync.WaitGroup
	for slot := range slotCount {
		reads.Go(func() { documents[slot], errs[slot] = a.read(ctx, request, slot) })
	}
	reads.Wait()
	all := Document{Version: documentVersion, Request: request}
	for _, d := range documents {
		all.merge(d)
	}
	if err := errors.Join(errs[:]...); err != nil {
		return all, newError(CodeUnavailable).Wrapf(err, "read the stored explanation of request %q", request)
	}
	return all, nil
}
