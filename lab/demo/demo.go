// Package demo runs the main job on a small deployment: long answers and
// non-idempotent bookings while processes of the deployment fail. It judges
// what the callers received against what the service ran.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// Times of the run.
const (
	// spread is the time over which answers start.
	spread = 800 * time.Millisecond
	// bookingSpread is the time over which bookings start. It covers the
	// failures that a run of 10 s usually has.
	bookingSpread = 8 * time.Second
	// answerLimit and bookingLimit bound one answer and one booking with its
	// repeat.
	answerLimit  = time.Minute
	bookingLimit = 20 * time.Second
	// bookingSilence is above the 2 s for which a node holds a repeated call
	// whose first run has no result yet.
	bookingSilence = 4 * time.Second
	// dropAfter is how long a caller that drops its connection waits, times 1
	// to dropSteps, so that the drop meets different stages of the call.
	dropAfter = 4 * time.Millisecond
	dropSteps = 6
	// dropEvery is the share of bookings whose first connection is dropped.
	dropEvery = 3
)

// Config sets up a run. DefaultConfig returns usable values.
type Config struct {
	// Nodes are the callers' addresses of the nodes. A node may die.
	Nodes []string
	Key   string
	Model string
	// Service is the name under which the nodes know the booking service.
	Service string
	// ServiceURL is where the service reports its runs.
	ServiceURL string
	// Metrics are operators' addresses of the nodes whose pages are read.
	Metrics []string
	// OperatorKey opens the metrics pages.
	OperatorKey string
	Answers     int
	Bookings    int
	// Length is the number of tokens of an answer.
	Length int
	// Silence is how long a connection may be without data.
	Silence time.Duration
	// Interruption is the gap between tokens that counts as one.
	Interruption time.Duration
	Client       *http.Client
}

// DefaultConfig returns the configuration of a run of about 10 s on engines
// that generate 20 tokens a second.
func DefaultConfig() Config {
	return Config{
		Service: "booking", Answers: 30, Bookings: 30, Length: 200,
		Silence: 2 * time.Second, Interruption: 75 * time.Millisecond,
		Client: caller.DefaultConfig().Client,
	}
}

// Run sends the answers and bookings, waits for their ends and judges them.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Nodes) == 0 {
		return Report{}, fmt.Errorf("no node is given")
	}
	answers := make([]caller.Result, cfg.Answers)
	bookings := make([]ledger.Booking, cfg.Bookings)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = cfg.answer(ctx, i) })
	}
	for i := range bookings {
		wg.Go(func() { bookings[i] = cfg.booking(ctx, i) })
	}
	wg.Wait()
	runs, err := ledger.Runs(ctx, cfg.Client, cfg.ServiceURL)
	if err != nil {
		return Report{}, err
	}
	var page scrape.Page
	var unread []string
	for _, address := range cfg.Metrics {
		one, err := scrape.Read(ctx, cfg.Client, address, cfg.OperatorKey)
		if err != nil {
			unread = append(unread, err.Error())
		}
		page = append(page, one...)
	}
	report := judge(cfg, answers, bookings, runs)
	report.addMetrics(page, len(cfg.Metrics)-len(unread), unread)
	return report, nil
}

func (cfg Config) caller(i int, silence time.Duration, attempts int) *caller.Caller {
	c := caller.DefaultConfig()
	c.Nodes = append(append([]string{}, cfg.Nodes[i%len(cfg.Nodes):]...), cfg.Nodes[:i%len(cfg.Nodes)]...)
	c.Key, c.Client, c.SilenceTimeout, c.RetryRefused = cfg.Key, cfg.Client, silence, true
	if attempts > 0 {
		c.MaxAttempts = attempts
	}
	return caller.New(c)
}

func (cfg Config) node(i int) string { return cfg.Nodes[i%len(cfg.Nodes)] }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (cfg Config) answer(ctx context.Context, i int) caller.Result {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	sleep(ctx, spread*time.Duration(i)/time.Duration(cfg.Answers))
	return cfg.caller(i, cfg.Silence, 0).Generate(ctx, caller.Request{
		Model: cfg.Model, First: cfg.node(i),
		Prompt: fmt.Sprintf("demo answer %d, started %d, length=%d", i, time.Now().UnixNano(), cfg.Length),
	})
}

// booking sends one booking and, after its answer, sends it again through
// another node. The first connection of some is dropped before the answer.
func (cfg Config) booking(ctx context.Context, i int) ledger.Booking {
	sleep(ctx, bookingSpread*time.Duration(i)/time.Duration(cfg.Bookings))
	b := ledger.Booking{Key: fmt.Sprintf("demo-%d-%d", i, time.Now().UnixNano()), Dropped: i%dropEvery == 1}
	call := caller.Call{Service: cfg.Service, Path: service.RouteBookings, Key: b.Key, First: cfg.node(i),
		Body: fmt.Appendf(nil, `{"seat":%d}`, i)}
	ctx, cancel := context.WithTimeout(ctx, bookingLimit)
	defer cancel()
	first := cfg.caller(i, bookingSilence, 0)
	if b.Dropped {
		first = cfg.caller(i, dropAfter*time.Duration(1+i/dropEvery%dropSteps), 1)
	}
	b.First = first.Call(ctx, call)
	call.First = cfg.node(i + 1)
	b.Second = cfg.caller(i+1, bookingSilence, 0).Call(ctx, call)
	return b
}
