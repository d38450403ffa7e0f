package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
)

// Limits of the HTTP client and of the callers.
const (
	maxIdleConnections = 4096
	dialTimeout        = 2 * time.Second
	// callersPerNode is the number of callers per node and team. Each caller
	// keeps its own address list, so that requests spread over the nodes as
	// those of several client machines do.
	callersPerNode = 4
)

// Options holds the settings of a run that are not part of the experiment file.
type Options struct {
	Name   string // name of the experiment
	PIDDir string // directory of relative PID file paths
	// OperatorKey is the bearer key for the nodes' metrics pages.
	OperatorKey string
	Client      *http.Client
	// Progress, if not nil, is called once per second, always from the same
	// goroutine.
	Progress func(Progress)
}

// NewClient returns an HTTP client with a connection pool for a run.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// runner is the state of one run.
type runner struct {
	file    File
	options Options
	plan    *planner
	started time.Time

	nodes, direct *collector
	callers       [][]*caller.Caller // by team; the callers of a team start at different nodes
	engines       []*caller.Caller
	nextNumber    atomic.Int64 // of the next request
	requests      sync.WaitGroup
	counters      *counterTracker
}

// Run runs an experiment and returns its report when all requests have ended. The
// report is also valid if the error is not nil, but then lacks the bookings.
func Run(ctx context.Context, file File, options Options) (Report, error) {
	r := newRunner(file, options)
	report := Report{Experiment: options.Name, Started: r.started, Seed: file.Seed, Machine: newMachine()}
	report.Processes = watchedProcesses(file.Watch, options.PIDDir)

	// Answers may continue after the last request was sent, until answering ends.
	answering, cancel := context.WithTimeout(ctx, time.Duration(file.Duration+file.Drain))
	defer cancel()
	sending, stopSending := context.WithTimeout(answering, time.Duration(file.Duration))
	defer stopSending()

	observing, stopObserving := context.WithCancel(answering)
	var observers sync.WaitGroup
	observers.Go(func() { r.observe(observing, report.Processes) })
	observers.Go(func() { report.Faults = r.injectFaults(observing) })

	bookings := make(chan []ledger.Booking, 1)
	go func() { bookings <- r.sendBookings(sending, answering) }()
	if file.Arrivals.Process == "closed" {
		r.sendClosed(sending, answering)
	} else {
		r.sendOpen(sending, answering)
	}
	r.requests.Wait()
	sentBookings := <-bookings
	elapsed := time.Since(r.started)
	stopObserving()
	observers.Wait()
	r.fillReport(ctx, &report, elapsed)
	err := r.checkBookings(ctx, &report, sentBookings)
	report.findProblems()
	return report, err
}

func newRunner(file File, options Options) *runner {
	r := &runner{file: file, options: options, started: time.Now()}
	r.plan = newPlanner(file, fmt.Sprintf("r%d", r.started.UnixNano()))
	r.nodes = newCollector(r.started, time.Duration(file.Interruption))
	r.direct = newCollector(r.started, time.Duration(file.Interruption))
	r.counters = newCounterTracker(options.Client, file.Nodes.Metrics, options.OperatorKey)
	for _, team := range file.Teams {
		var list []*caller.Caller
		for i := range callersPerNode * len(file.Nodes.Callers) {
			list = append(list, r.caller(team.Key, rotate(file.Nodes.Callers, i)))
		}
		r.callers = append(r.callers, list)
	}
	for _, address := range file.Direct.Engines {
		cfg := r.callerConfig("", []string{address})
		cfg.Direct = true
		r.engines = append(r.engines, caller.New(cfg))
	}
	return r
}

// rotate returns a copy of list, rotated left by the given number of elements.
func rotate(list []string, by int) []string {
	by %= len(list)
	return append(append([]string{}, list[by:]...), list[:by]...)
}

func (r *runner) callerConfig(key string, nodes []string) caller.Config {
	cfg := caller.DefaultConfig()
	cfg.Key, cfg.Nodes, cfg.Client = key, nodes, r.options.Client
	cfg.SilenceTimeout, cfg.MaxAttempts = time.Duration(r.file.Nodes.Silence), r.file.Nodes.MaxAttempts
	cfg.SendText = r.file.Nodes.SendText
	cfg.RetryRefused = r.file.Requests.RetryRefused
	return cfg
}

func (r *runner) caller(key string, nodes []string) *caller.Caller {
	return caller.New(r.callerConfig(key, nodes))
}

func (r *runner) elapsed() time.Duration { return time.Since(r.started) }

// sleepUntil waits until the given time since the start of the run. It reports
// false if ctx ends first.
func (r *runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - r.elapsed())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendOpen starts requests at the scheduled times, regardless of how many are in
// flight, up to max_in_flight.
func (r *runner) sendOpen(sending, answering context.Context) {
	schedule := newSchedule(r.file.Arrivals, r.file.Seed)
	var inFlight atomic.Int64
	for {
		at, ok := schedule.next()
		if !ok || !r.sleepUntil(sending, at) {
			return
		}
		if inFlight.Load() >= int64(r.file.Arrivals.MaxInFlight) {
			r.nodes.countNotSent()
			continue
		}
		inFlight.Add(1)
		r.requests.Go(func() {
			defer inFlight.Add(-1)
			r.send(answering)
		})
	}
}

// closedPollInterval is the interval at which a stream of a closed-loop process
// that is unused in the current phase checks whether it may send. It is also the
// delay after a request that returned no tokens.
const closedPollInterval = 100 * time.Millisecond

// sendClosed runs the streams of a closed process; each sends its next request
// when the previous one has ended.
func (r *runner) sendClosed(sending, answering context.Context) {
	a := r.file.Arrivals
	maxFactor := 1.0
	for _, p := range a.Phases {
		maxFactor = max(maxFactor, p.Factor)
	}
	streams := int(float64(a.Streams) * maxFactor)
	for i := range streams {
		r.requests.Go(func() {
			if !r.sleepUntil(sending, time.Duration(a.Ramp)*time.Duration(i)/time.Duration(streams)) {
				return
			}
			for sending.Err() == nil {
				if float64(i) >= float64(a.Streams)*a.factor(r.elapsed()) {
					r.sleepUntil(sending, r.elapsed()+closedPollInterval)
					continue
				}
				if !r.send(answering) {
					r.sleepUntil(sending, r.elapsed()+closedPollInterval)
				}
			}
		})
	}
}

// send sends one request and reports whether it returned any tokens.
func (r *runner) send(ctx context.Context) bool {
	number := int(r.nextNumber.Add(1) - 1)
	p := r.plan.request(number)
	c, to := r.target(number, &p)
	to.countSent()
	p.request.Observe = to.recordArrival
	result := c.Generate(ctx, p.request)
	to.recordResult(result, ctx.Err() != nil)
	return result.Counts.Tokens > 0
}

// target returns the caller that sends a request and the collector of its result.
// In a comparison with the baseline, requests alternate between the two targets.
func (r *runner) target(number int, p *plannedRequest) (*caller.Caller, *collector) {
	if r.file.Compare == "direct" {
		if number%2 == 1 {
			return r.engines[number/2%len(r.engines)], r.direct
		}
		number /= 2
	}
	list := r.callers[p.team]
	if r.file.Nodes.Choose == "given" {
		p.request.First = r.file.Nodes.Callers[number%len(r.file.Nodes.Callers)]
	}
	return list[number%len(list)], r.nodes
}

// fillReport fills in the report after the last request has ended.
func (r *runner) fillReport(ctx context.Context, report *Report, elapsed time.Duration) {
	report.Elapsed = elapsed.Seconds()
	r.counters.read(ctx, elapsed)
	report.Extra = r.counters.finish()
	for i := range report.Processes {
		report.Processes[i].finish()
	}
	report.Nodes = r.nodes.finish(elapsed)
	if r.file.Compare == "direct" {
		direct := r.direct.finish(elapsed)
		report.Direct, report.Overhead = &direct, overhead(report.Nodes, direct)
	}
	report.Machine.recordEnd()
}
