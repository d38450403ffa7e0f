package admission

import (
	"math"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// waiting is one queued request.
type waiting struct {
	item  Item
	since time.Time
}

func (w waiting) refused(now time.Time, r Refusal) Outcome {
	return Outcome{Item: w.item, Waited: now.Sub(w.since), Refusal: &r}
}

// fifo is a queue that reuses its storage.
type fifo struct {
	items  []waiting
	head   int
	tokens int64
}

func (f *fifo) len() int { return len(f.items) - f.head }

func (f *fifo) front() *waiting { return &f.items[f.head] }

func (f *fifo) push(w waiting) {
	if f.head > 0 && len(f.items) == cap(f.items) {
		n := copy(f.items, f.items[f.head:])
		f.items, f.head = f.items[:n], 0
	}
	f.items = append(f.items, w)
	f.tokens += int64(w.item.Tokens)
}

func (f *fifo) pop() waiting {
	w := f.items[f.head]
	f.head++
	f.tokens -= int64(w.item.Tokens)
	return w
}

// remove takes the request with this id out of the queue.
func (f *fifo) remove(id uint64) (waiting, bool) {
	for i := f.head; i < len(f.items); i++ {
		if w := f.items[i]; w.item.ID == id {
			copy(f.items[i:], f.items[i+1:])
			f.items = f.items[:len(f.items)-1]
			f.tokens -= int64(w.item.Tokens)
			return w, true
		}
	}
	return waiting{}, false
}

// team is the queue and the rate limit of one team.
type team struct {
	name   ident.Team
	limits Limits
	queue  fifo
	// tags are the virtual finish times of the last dispatch in each class, in
	// tokens per weight.
	tags [classes]float64
	// level is the token bucket. A request may start while it is above zero
	// and takes its whole estimate, so that requests larger than the burst can
	// run and the rate still holds over time.
	level    float64
	refilled time.Time
	// inFlight is the estimate of its requests in flight, resumes left out.
	inFlight int64
	// offered is the exponentially averaged rate of offered tokens.
	offered   float64
	offeredAt time.Time
}

// offerWindow is the averaging time of the offered rate: about four
// heartbeats, so that one burst does not move loans back and forth.
const offerWindow = 2 * time.Second

func (q *team) countOffer(now time.Time, tokens int) {
	if passed := now.Sub(q.offeredAt); passed > 0 {
		q.offered *= math.Exp(-passed.Seconds() / offerWindow.Seconds())
		q.offeredAt = now
	}
	q.offered += float64(tokens) / offerWindow.Seconds()
}

func burst(rate float64, length time.Duration) float64 { return rate * length.Seconds() }

func (q *team) refill(now time.Time, length time.Duration) {
	if math.IsInf(q.limits.Rate, 1) {
		q.level = q.limits.Rate
	} else if passed := now.Sub(q.refilled); passed > 0 {
		full := burst(q.limits.Rate, length)
		q.level = min(full, q.level+q.limits.Rate*passed.Seconds())
		q.refilled = now
	}
}

// class is the effective class of the head: it moves up as it waits.
func (q *team) class(now time.Time, step time.Duration) Priority {
	class := q.limits.Priority
	for since := q.queue.front().since; class > High && now.Sub(since) >= step; class-- {
		since = since.Add(step)
	}
	return class
}

// ownWait is the time until the team's own rate lets one more request
// start behind those in its queue.
func (q *team) ownWait() time.Duration {
	return max(q.rateWait(), q.slotWait())
}

// full tells that the team uses its part of the slots.
func (q *team) full() bool { return q.limits.Slots > 0 && q.inFlight >= q.limits.Slots }

// slotWait is the time until the team's own requests in flight leave room
// for those that wait.
func (q *team) slotWait() time.Duration {
	excess := q.inFlight + q.queue.tokens - q.limits.Slots
	if q.limits.Slots <= 0 || excess < 0 || math.IsInf(q.limits.Rate, 1) {
		return 0
	}
	return seconds(float64(excess) / q.limits.Rate)
}

// rateWait is the time until the rate has covered the requests that wait.
func (q *team) rateWait() time.Duration {
	missing := float64(q.queue.tokens) - q.level
	if missing < 0 || missing == 0 && q.level > 0 || math.IsInf(q.limits.Rate, 1) {
		return 0
	}
	return seconds(missing / q.limits.Rate)
}

// longest keeps durations from a rate of zero out of the overflow range.
const longest = time.Hour

func seconds(s float64) time.Duration {
	if !(s < longest.Seconds()) {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
