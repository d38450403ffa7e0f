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
	// DefaultObjectRate bounds the objects that one node writes in a second.
	DefaultObjectRate = 5
	// deploymentObjectRate bounds the objects that all nodes together write in a
	// second. The store takes several hundred for the whole deployment.
	deploymentObjectRate = 50
	// writeInterval is how long a request waits at least, so that the decisions
	// of one loss become one object.
	writeInterval = time.Second
	// maxPending bounds the requests that wait to be written.
	maxPending = 4096
	// flushLimit and flushObjects bound the last writes when the node stops.
	flushLimit   = 2 * time.Second
	flushObjects = 20
)

// ArchiveConfig is what an Archive needs of the node.
type ArchiveConfig struct {
	Host    ident.HostID
	Objects objects.Store
	Store   *Store
	Traces  *Traces
	// Hosts returns the number of hosts of the deployment.
	Hosts  func() int
	Events *telemetry.EventLog
	Scope  tally.Scope
}

// Archive is the worker that writes what a node knows about disturbed requests
// to the object store, and reads what other nodes wrote. Its methods may be
// called by any number of goroutines.
type Archive struct {
	config  ArchiveConfig
	limiter *rate.Limiter
	written tally.Counter
	failed  tally.Counter
	dropped tally.Counter

	mu sync.Mutex
	// pending and byKey are guarded by mu. pending holds pendingRequest, longest
	// waiting first.
	pending *list.List
	byKey   map[key]*list.Element
}

type pendingRequest struct {
	key   key
	since time.Time
}

// NewArchive returns an archive that hears of the changes of the store and the
// traces. Its worker is started by Run.
func NewArchive(config ArchiveConfig) *Archive {
	a := &Archive{
		config:  config,
		limiter: rate.NewLimiter(DefaultObjectRate, DefaultObjectRate),
		written: telemetry.ExplainObjects.Counter(config.Scope, "written"),
		failed:  telemetry.ExplainObjects.Counter(config.Scope, "failed"),
		dropped: telemetry.RingDropped.Counter(config.Scope, "explain"),
		pending: list.New(),
		byKey:   map[key]*list.Element{},
	}
	config.Store.OnChange(a.mark)
	config.Traces.OnChange(a.mark)
	return a
}

// mark makes a request wait to be written. At the limit the one that waits
// longest is dropped.
func (a *Archive) mark(team ident.Team, request ident.RequestID) {
	now := time.Now()
	a.mu.Lock()
	k := key{team, request}
	if a.byKey[k] != nil {
		a.mu.Unlock()
		return
	}
	overflow := a.pending.Len() == maxPending
	if overflow {
		oldest := a.pending.Remove(a.pending.Front()).(pendingRequest)
		delete(a.byKey, oldest.key)
	}
	a.byKey[k] = a.pending.PushBack(pendingRequest{key: k, since: now})
	a.mu.Unlock()
	if overflow {
		a.dropped.Inc(1)
		a.config.Events.LogError(logrus.ErrorLevel, telemetry.EventExplainFailed,
			newError(CodeOverflow).Errorf("more than %d requests wait for the object store", maxPending), nil, "an explanation was not stored")
	}
}

// take removes and returns the request that waits longest, if it has waited
// until the given time.
func (a *Archive) take(until time.Time) (key, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.pending.Front()
	if first == nil {
		return key{}, false
	}
	next := first.Value.(pendingRequest)
	if next.since.After(until) {
		return key{}, false
	}
	a.pending.Remove(first)
	delete(a.byKey, next.key)
	return next.key, true
}

// Run writes until the context ends, and then for a bounded time what waits.
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

// objectRate is the node's part of the deployment's writes.
func (a *Archive) objectRate() rate.Limit {
	return min(DefaultObjectRate, deploymentObjectRate/rate.Limit(max(1, a.config.Hosts())))
}

// writeDue writes requests that wait since before the given time until a write
// fails, the rate is used up or none is left.
func (a *Archive) writeDue(ctx context.Context, until time.Time) {
	a.limiter.SetLimit(a.objectRate())
	for ctx.Err() == nil && a.limiter.Allow() {
		k, ok := a.take(until)
		if !ok {
			return
		}
		if err := a.write(ctx, k); err != nil {
			a.writeFailed(k, err)
			return
		}
	}
}

// flush ignores the rate for a few objects, since the node that stops will
// write no more.
func (a *Archive) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
	defer cancel()
	for range flushObjects {
		k, ok := a.take(time.Now())
		if !ok {
			return
		}
		if err := a.write(ctx, k); err != nil {
			a.failed.Inc(1)
			return
		}
	}
}

// writeFailed makes the request wait again unless repeating is useless.
func (a *Archive) writeFailed(k key, err error) {
	a.failed.Inc(1)
	a.config.Events.LogError(logrus.WarnLevel, telemetry.EventExplainFailed, err, logrus.Fields{
		telemetry.FieldRequest: k.request, telemetry.FieldTeam: k.team,
	}, "store an explanation")
	if objects.CodeOf(err) != objects.CodeRejected {
		a.mark(k.team, k.request)
	}
}

// write merges what this node knows into the object. Two hosts of one slot that
// write the same request at the same moment may lose one part until either of
// them writes again.
func (a *Archive) write(ctx context.Context, k key) error {
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
		return nil // dropped meanwhile
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

// read returns one object, or an empty document if there is none.
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

// Load returns what all nodes stored about a request id. With an error it
// returns the part that could be read.
func (a *Archive) Load(ctx context.Context, request ident.RequestID) (Document, error) {
	var documents [slots]Document
	var errs [slots]error
	var reads sync.WaitGroup
	for slot := range slots {
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
