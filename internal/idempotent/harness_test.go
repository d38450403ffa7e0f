package idempotent

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/claim"
	"github.com/yuccahatch/yuccahatch/internal/claimwriter"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// lockedRand is a source of random numbers that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

func (d *lockedRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *lockedRand) randomMillis(n int) time.Duration {
	return time.Duration(d.intN(n)) * time.Millisecond
}

// faultyTable delays calls and loses some transactions. A lost transaction still
// arrives, up to 4 s later.
type faultyTable struct {
	*tabletest.Table
	rand *lockedRand
	// faults is the percentage of transactions that are lost.
	faults    int
	lateCalls *sync.WaitGroup
}

func (f faultyTable) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	time.Sleep(time.Millisecond + f.rand.randomMillis(5))
	if f.rand.intN(100) < f.faults {
		f.lateCalls.Go(func() {
			time.Sleep(f.rand.randomMillis(4000))
			_, _ = f.Table.Txn(context.Background(), txn)
		})
		_, err := tableWithFault(tabletest.FaultLostCall).Txn(ctx, txn)
		return platformapi.TxnResponse{}, err
	}
	answer, err := f.Table.Txn(ctx, txn)
	time.Sleep(f.rand.randomMillis(5))
	return answer, err
}

func (f faultyTable) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	time.Sleep(time.Millisecond + f.rand.randomMillis(5))
	rows, err := f.Table.Read(ctx, keys...)
	time.Sleep(f.rand.randomMillis(5))
	return rows, err
}

// tableWithFault returns a table on which every call has the given fault.
func tableWithFault(fault tabletest.Fault) *tabletest.Table {
	t := tabletest.New()
	t.SetFaults(func(string) tabletest.Fault { return fault })
	return t
}

// service runs calls and counts the runs per key.
type service struct {
	rand *lockedRand
	mu   sync.Mutex
	runs map[string]int // guarded by mu
	// faults is the percentage of sends with a fault.
	faults int
	// delay is the maximum duration of a run.
	delay time.Duration
	// body is the number of bytes that follow the request ID in a response.
	body      int
	lateCalls sync.WaitGroup
}

func (s *service) run(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *service) Send(_ context.Context, call Call) (Response, error) {
	time.Sleep(s.rand.randomMillis(int(s.delay/time.Millisecond) + 1))
	if s.rand.intN(100) < s.faults {
		switch s.rand.intN(4) {
		case 0:
			return Response{}, fmt.Errorf("dial: %w", ErrNotSent)
		case 1:
			return Response{}, ErrMaybeSent
		case 2:
			s.run(call.Key)
			return Response{}, fmt.Errorf("reset: %w", ErrMaybeSent)
		default:
			s.lateCalls.Go(func() { time.Sleep(s.rand.randomMillis(2000)); s.run(call.Key) })
			return Response{}, ErrMaybeSent
		}
	}
	n := s.run(call.Key)
	body := append([]byte(string(call.RequestID)), make([]byte, s.body)...)
	return Response{Status: 200 + n, Body: body}, nil
}

type objects struct {
	mu     sync.Mutex
	bodies map[string][]byte // guarded by mu
	down   bool              // guarded by mu
}

func (o *objects) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func (o *objects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return fmt.Errorf("object store is down")
	}
	o.bodies[name] = body
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, fmt.Errorf("object store is down")
	}
	return o.bodies[name], nil
}

// node is one executor with its claim writer.
type node struct {
	*Executor
	stop context.CancelFunc
}

func newNode(t *testing.T, i int, rows table.Table, s Sender, o Objects, now func() claim.ClockReading) node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	writer := claimwriter.New(rows, log, tally.NoopScope)
	ctx, stop := context.WithCancel(t.Context())
	go writer.Run(ctx)
	return node{stop: stop, Executor: New(Config{
		Host: ident.HostID(fmt.Sprint(i)), Incarnation: 1, Claims: writer, Sender: s, Objects: o,
		SendTimeout: 5 * time.Second, Log: log, Metrics: tally.NoopScope, Now: now,
	})}
}

// finish waits for background writes to complete and stops the claim writer.
func (n node) finish(t *testing.T) {
	if err := n.Wait(t.Context()); err != nil {
		t.Error(err)
	}
	n.stop()
}
