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

// sampleInterval is the time between readings of metrics pages and processes.
const sampleInterval = time.Second

// Progress is the state of a run.
type Progress struct {
	At       time.Duration
	Sent     int
	Running  int
	Verified int
	Refused  int
	Wrong    int
	Tokens   int64
	GapP99   float64 // in milliseconds
}

// observe reads metrics and processes and reports progress until ctx ends.
func (r *runner) observe(ctx context.Context, processes []Process) {
	for at := time.Duration(0); r.sleepUntil(ctx, at); at += sampleInterval {
		now := r.elapsed()
		r.follow.read(ctx, now)
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
		s, tokens, gap := c.live()
		p.Sent += s.Sent
		p.Running += s.running
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

// injectFaults carries out the faults in the order of their times. The run does
// not wait for faults that lie behind its last answer; these are reported.
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

// Times of bookings.
const (
	// bookingSilence is above the 2 s for which a node holds a repeated call
	// whose first run has no result yet.
	bookingSilence = 4 * time.Second
	bookingLimit   = 20 * time.Second // for a booking and its repeat
)

// sendBookings sends bookings at a constant rate, each a second time through
// another node.
func (r *runner) sendBookings(sending, limit context.Context) []ledger.Booking {
	if r.file.Bookings.Rate == 0 {
		return nil
	}
	var mu sync.Mutex
	var made []ledger.Booking
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / r.file.Bookings.Rate)
	for i := 0; r.sleepUntil(sending, time.Duration(i)*interval); i++ {
		wg.Go(func() {
			b := r.book(limit, i)
			mu.Lock()
			defer mu.Unlock()
			made = append(made, b)
		})
	}
	wg.Wait()
	return made
}

func (r *runner) book(ctx context.Context, i int) ledger.Booking {
	ctx, cancel := context.WithTimeout(ctx, bookingLimit)
	defer cancel()
	nodes := r.file.Nodes.Callers
	b := ledger.Booking{Key: fmt.Sprintf("%s-booking-%d", r.plan.run, i)}
	call := caller.Call{Service: r.file.Bookings.Service, Path: r.file.Bookings.Path, Key: b.Key,
		Body: fmt.Appendf(nil, `{"seat":%d}`, i), First: nodes[i%len(nodes)]}
	cfg := r.callerConfig(r.file.Teams[i%len(r.file.Teams)].Key, rotate(nodes, i))
	cfg.SilenceTimeout = bookingSilence
	b.First = caller.New(cfg).Call(ctx, call)
	call.First = nodes[(i+1)%len(nodes)]
	cfg.Nodes = rotate(nodes, i+1)
	b.Second = caller.New(cfg).Call(ctx, call)
	return b
}

func (r *runner) checkBookings(ctx context.Context, report *Report, made []ledger.Booking) error {
	if r.file.Bookings.Rate == 0 {
		return nil
	}
	runs, err := ledger.Runs(ctx, r.options.Client, r.file.Bookings.ServiceURL)
	if err != nil {
		return err
	}
	summary := ledger.Check(made, runs)
	report.Bookings = &summary
	return nil
}
