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

// dice is a source of random numbers for many goroutines.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

func (d *dice) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *dice) millis(n int) time.Duration { return time.Duration(d.below(n)) * time.Millisecond }

// faultyTable delays calls and loses some of them. A lost call may arrive late.
type faultyTable struct {
	*tabletest.Table
	dice *dice
	// faults is the percentage of calls with a fault.
	faults int
	late   *sync.WaitGroup
}

func (f faultyTable) Txn(ctx context.Context, txn platformapi.TxnRequest) (platformapi.TxnResponse, error) {
	time.Sleep(time.Millisecond + f.dice.millis(5))
	if f.dice.below(100) < f.faults {
		f.late.Go(func() {
			time.Sleep(f.dice.millis(4000))
			_, _ = f.Table.Txn(context.Background(), txn)
		})
		_, err := faulty(tabletest.FaultLostCall).Txn(ctx, txn)
		return platformapi.TxnResponse{}, err
	}
	answer, err := f.Table.Txn(ctx, txn)
	time.Sleep(f.dice.millis(5))
	return answer, err
}

func (f faultyTable) Read(ctx context.Context, keys ...string) ([]platformapi.Row, error) {
	time.Sleep(time.Millisecond + f.dice.millis(5))
	rows, err := f.Table.Read(ctx, keys...)
	time.Sleep(f.dice.millis(5))
	return rows, err
}

// faulty returns a table whose every call has the fault.
func faulty(fault tabletest.Fault) *tabletest.Table {
	t := tabletest.New()
	t.SetFaults(func(string) tabletest.Fault { return fault })
	return t
}

// service runs calls and counts the runs of each key.
type service struct {
	dice *dice
	mu   sync.Mutex
	runs map[string]int // guarded by mu
	// faults is the percentage of sends with a fault.
	faults int
	// delay is the longest time of a run.
	delay time.Duration
	body  int
	late  sync.WaitGroup
}

func (s *service) run(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *service) Send(_ context.Context, call Call) (Response, error) {
	time.Sleep(s.dice.millis(int(s.delay/time.Millisecond) + 1))
	if s.dice.below(100) < s.faults {
		switch s.dice.below(4) {
		case 0:
			return Response{}, fmt.Errorf("dial: %w", ErrNotSent)
		case 1:
			return Response{}, ErrMaybeSent
		case 2:
			s.run(call.Key)
			return Response{}, fmt.Errorf("reset: %w", ErrMaybeSent)
		default:
			s.late.Go(func() { time.Sleep(s.dice.millis(2000)); s.run(call.Key) })
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

func newNode(t *testing.T, i int, rows table.Table, s Sender, o Objects, now func() claim.Now) node {
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

// finish waits for the background work and stops the writer.
func (n node) finish(t *testing.T) {
	if err := n.Wait(t.Context()); err != nil {
		t.Error(err)
	}
	n.stop()
}
