// Package demo runs a demonstration on a small deployment: it requests long
// generations and makes non-idempotent bookings while processes of the deployment
// fail, and compares what the callers received with the calls that the service
// executed. It keeps no state between runs; Run may be called from any goroutine.
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

// Timing of the run.
const (
	// answerStartSpread is the time over which answers start.
	answerStartSpread = 800 * time.Millisecond
	// bookingStartSpread is the time over which bookings start. The failures in a
	// run of 10 s usually happen within this time.
	bookingStartSpread = 8 * time.Second
	// answerTimeout and bookingTimeout are the time limits of one answer and of
	// one booking with its repeat.
	answerTimeout  = time.Minute
	bookingTimeout = 20 * time.Second
	// bookingSilenceTimeout is how long a booking's connection may be without
	// data. It is longer than the 2 s for which a node holds a repeated call whose
	// first attempt has no result yet.
	bookingSilenceTimeout = 4 * time.Second
	// dropDelayStep is the unit of the delay after which a caller drops its
	// connection: 1 to dropSteps units, so that drops happen in different stages of
	// the call.
	dropDelayStep = 4 * time.Millisecond
	dropSteps     = 6
	// dropEvery selects the bookings whose first connection is dropped: one in
	// every dropEvery.
	dropEvery = 3
)

// Config configures a run. DefaultConfig returns usable values.
type Config struct {
	// Nodes are the nodes' addresses for callers. Nodes may fail during the run.
	Nodes []string
	// Key is the caller's bearer key.
	Key   string
	Model string
	// Service is the name of the booking service in requests to the nodes.
	Service string
	// ServiceURL is the URL at which the service reports the calls that it
	// executed.
	ServiceURL string
	// MetricsAddresses are the operator addresses of the nodes whose metrics are read.
	MetricsAddresses []string
	// OperatorKey is the bearer key for the metrics.
	OperatorKey string
	Answers     int
	Bookings    int
	// Length is the number of tokens of each answer.
	Length int
	// SilenceTimeout is how long an answer's connection may be without data before
	// it counts as broken.
	SilenceTimeout time.Duration
	// InterruptionThreshold is the longest gap between tokens that does not count
	// as an interruption.
	InterruptionThreshold time.Duration
	Client                *http.Client
}

// DefaultConfig returns the configuration of a run of about 10 s on engines
// that generate 20 tokens a second.
func DefaultConfig() Config {
	return Config{
		Service: "booking", Answers: 30, Bookings: 30, Length: 200,
		SilenceTimeout: 2 * time.Second, InterruptionThreshold: 75 * time.Millisecond,
		Client: caller.DefaultConfig().Client,
	}
}

// Run requests the answers and bookings, waits for their completion and returns
// the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Nodes) == 0 {
		return Report{}, fmt.Errorf("no node address given")
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
	runs, err := ledger.FetchRuns(ctx, cfg.Client, cfg.ServiceURL)
	if err != nil {
		return Report{}, err
	}
	var page scrape.Page
	var fetchErrors []string
	for _, address := range cfg.MetricsAddresses {
		nodePage, err := scrape.Fetch(ctx, cfg.Client, address, cfg.OperatorKey)
		if err != nil {
			fetchErrors = append(fetchErrors, err.Error())
		}
		page = append(page, nodePage...)
	}
	report := buildReport(cfg, answers, bookings, runs)
	report.addMetrics(page, len(cfg.MetricsAddresses)-len(fetchErrors), fetchErrors)
	return report, nil
}

// caller returns a caller that uses node i first. If attempts is 0, it makes the
// default number of attempts.
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
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	sleep(ctx, answerStartSpread*time.Duration(i)/time.Duration(cfg.Answers))
	return cfg.caller(i, cfg.SilenceTimeout, 0).Generate(ctx, caller.Request{
		Model: cfg.Model, First: cfg.node(i),
		Prompt: fmt.Sprintf("demo answer %d, started %d, length=%d", i, time.Now().UnixNano(), cfg.Length),
	})
}

// booking sends one booking and, after the result, repeats it through another
// node. For some bookings the first connection is dropped before the response.
func (cfg Config) booking(ctx context.Context, i int) ledger.Booking {
	sleep(ctx, bookingStartSpread*time.Duration(i)/time.Duration(cfg.Bookings))
	b := ledger.Booking{Key: fmt.Sprintf("demo-%d-%d", i, time.Now().UnixNano()), Dropped: i%dropEvery == 1}
	call := caller.Call{Service: cfg.Service, Path: service.RouteBookings, Key: b.Key, First: cfg.node(i),
		Body: fmt.Appendf(nil, `{"seat":%d}`, i)}
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	first := cfg.caller(i, bookingSilenceTimeout, 0)
	if b.Dropped {
		first = cfg.caller(i, dropDelayStep*time.Duration(1+i/dropEvery%dropSteps), 1)
	}
	b.First = first.Call(ctx, call)
	call.First = cfg.node(i + 1)
	b.Second = cfg.caller(i+1, bookingSilenceTimeout, 0).Call(ctx, call)
	return b
}
