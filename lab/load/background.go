package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
)

// sampleInterval is the time between two samples of the metrics pages and of the
// watched processes.
const sampleInterval = time.Second

// Progress is a snapshot of a run. Sent, Running, Verified, Refused and Wrong
// count requests, Tokens counts received tokens.
type Progress struct {
	At       time.Duration // since the start of the run
	Sent     int
	Running  int
	Verified int
	Refused  int
	Wrong    int
	Tokens   int64
	GapP99   float64 // gap between tokens on connections to nodes, in milliseconds
}

// observe samples metrics pages and processes and reports progress every
// sampleInterval until ctx ends.
func (r *runner) observe(ctx context.Context, processes []Process) {
	for at := time.Duration(0); r.sleepUntil(ctx, at); at += sampleInterval {
		now := r.elapsed()
		r.counters.read(ctx, now)
		for i := range processes {
			processes[i].sample(now)
		}
		if r.options.Progress != nil {
			r.options.Progress(r.progress(now))
		}
	}
}

func (r *runner) progress(now time.Duration) Progress {
	p := Progress{At: now}
	for i, c := range []*collector{r.nodes, r.direct} {
		s, tokens, gap := c.snapshot()
		p.Sent += s.Sent
		p.Running += s.inFlight
		p.Verified += s.Verified
		p.Refused += s.Refused
		p.Wrong += s.Incomplete
		p.Tokens += tokens
		if i == 0 {
			p.GapP99 = gap
		}
	}
	return p
}

// injectFaults injects the faults in the order of their times. The run does not
// wait for faults that are scheduled after its last answer; their records get an
// error.
func (r *runner) injectFaults(ctx context.Context) []FaultRecord {
	faults := slices.Clone(r.file.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	records := []FaultRecord{}
	for _, f := range faults {
		record := FaultRecord{Fault: f.String()}
		if !r.sleepUntil(ctx, time.Duration(f.At)) {
			record.Error = "the run ended before"
		} else if err := f.inject(ctx, r.options.Client, r.options.PIDDir); err != nil {
			record.Error = err.Error()
		}
		record.At = r.elapsed().Seconds()
		records = append(records, record)
	}
	return records
}

// Timeouts of bookings.
const (
	// bookingSilenceTimeout is longer than the 2 s for which a node holds a
	// repeated call while the first one has no result yet.
	bookingSilenceTimeout = 4 * time.Second
	bookingTimeout        = 20 * time.Second // for a booking and its repetition
)

// sendBookings sends bookings at a constant rate until sending ends and returns
// them when all have finished. Each booking is sent a second time with the same
// key, through the next node of the list.
func (r *runner) sendBookings(sending, answering context.Context) []ledger.Booking {
	if r.file.Bookings.Rate == 0 {
		return nil
	}
	var mu sync.Mutex
	var sent []ledger.Booking
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / r.file.Bookings.Rate)
	for i := 0; r.sleepUntil(sending, time.Duration(i)*interval); i++ {
		wg.Go(func() {
			b := r.sendBooking(answering, i)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, b)
		})
	}
	wg.Wait()
	return sent
}

// sendBooking sends booking number i and its repetition.
func (r *runner) sendBooking(ctx context.Context, i int) ledger.Booking {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	nodes := r.file.Nodes.Callers
	b := ledger.Booking{Key: fmt.Sprintf("%s-booking-%d", r.plan.runID, i)}
	call := caller.Call{Service: r.file.Bookings.Service, Path: r.file.Bookings.Path, Key: b.Key,
		Body: fmt.Appendf(nil, `{"seat":%d}`, i), First: nodes[i%len(nodes)]}
	cfg := r.callerConfig(r.file.Teams[i%len(r.file.Teams)].Key, rotate(nodes, i))
	cfg.SilenceTimeout = bookingSilenceTimeout
	b.First = caller.New(cfg).Call(ctx, call)
	call.First = nodes[(i+1)%len(nodes)]
	cfg.Nodes = rotate(nodes, i+1)
	b.Second = caller.New(cfg).Call(ctx, call)
	return b
}

// checkBookings compares the bookings with the runs that the booking service
// recorded and adds the summary to the report.
func (r *runner) checkBookings(ctx context.Context, report *Report, bookings []ledger.Booking) error {
	if r.file.Bookings.Rate == 0 {
		return nil
	}
	runs, err := ledger.FetchRuns(ctx, r.options.Client, r.file.Bookings.ServiceURL)
	if err != nil {
		return err
	}
	summary := ledger.Check(bookings, runs)
	report.Bookings = &summary
	return nil
}
