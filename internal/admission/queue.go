package admission

import (
	"math"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// queuedItem is one queued request.
type queuedItem struct {
	item     Item
	queuedAt time.Time
}

func (w queuedItem) refused(now time.Time, r Refusal) Outcome {
	return Outcome{Item: w.item, Waited: now.Sub(w.queuedAt), Refusal: &r}
}

// fifo is a queue that reuses its backing array.
type fifo struct {
	items  []queuedItem
	head   int
	tokens int64
}

func (f *fifo) len() int { return len(f.items) - f.head }

func (f *fifo) front() *queuedItem { return &f.items[f.head] }

func (f *fifo) push(w queuedItem) {
	if f.head > 0 && len(f.items) == cap(f.items) {
		n := copy(f.items, f.items[f.head:])
		f.items, f.head = f.items[:n], 0
	}
	f.items = append(f.items, w)
	f.tokens += int64(w.item.Tokens)
}

func (f *fifo) pop() queuedItem {
	w := f.items[f.head]
	f.head++
	f.tokens -= int64(w.item.Tokens)
	return w
}

// remove removes the request with this ID from the queue.
func (f *fifo) remove(id uint64) (queuedItem, bool) {
	for i := f.head; i < len(f.items); i++ {
		if w := f.items[i]; w.item.ID == id {
			copy(f.items[i:], f.items[i+1:])
			f.items = f.items[:len(f.items)-1]
			f.tokens -= int64(w.item.Tokens)
			return w, true
		}
	}
	return queuedItem{}, false
}

// team is the queue and the rate limit of one team.
type team struct {
	name   ident.Team
	limits Limits
	queue  fifo
	// finishTags are the virtual finish times of the team's last dispatch in each
	// class, in tokens per weight.
	finishTags [numClasses]float64
	// level is the number of tokens in the team's bucket. A request may start
	// while it is above zero and takes its whole estimate, so that requests
	// larger than the burst can run and the rate still holds over time.
	level      float64
	refilledAt time.Time
	// inFlight is the estimated tokens of its requests in flight, without
	// resumes.
	inFlight int64
	// offeredRate is the exponentially weighted average of offered tokens/s.
	offeredRate float64
	offeredAt   time.Time
}

// offeredRateWindow is the time constant of the average offered rate. It is
// about four heartbeats, so that one burst does not move loans back and forth.
const offeredRateWindow = 2 * time.Second

func (q *team) recordOffered(now time.Time, tokens int) {
	if passed := now.Sub(q.offeredAt); passed > 0 {
		q.offeredRate *= math.Exp(-passed.Seconds() / offeredRateWindow.Seconds())
		q.offeredAt = now
	}
	q.offeredRate += float64(tokens) / offeredRateWindow.Seconds()
}

func burstTokens(rate float64, length time.Duration) float64 { return rate * length.Seconds() }

func (q *team) refill(now time.Time, length time.Duration) {
	if math.IsInf(q.limits.Rate, 1) {
		q.level = q.limits.Rate
	} else if passed := now.Sub(q.refilledAt); passed > 0 {
		full := burstTokens(q.limits.Rate, length)
		q.level = min(full, q.level+q.limits.Rate*passed.Seconds())
		q.refilledAt = now
	}
}

// class returns the effective class of the first queued request, which moves up
// one class for each step that it has waited.
func (q *team) class(now time.Time, step time.Duration) Priority {
	class := q.limits.Priority
	for since := q.queue.front().queuedAt; class > High && now.Sub(since) >= step; class-- {
		since = since.Add(step)
	}
	return class
}

// limitWait returns the time until the team's own limits let one more request
// start after those in its queue.
func (q *team) limitWait() time.Duration {
	return max(q.rateWait(), q.slotWait())
}

// atSlotLimit reports whether the team uses all of its slots.
func (q *team) atSlotLimit() bool { return q.limits.Slots > 0 && q.inFlight >= q.limits.Slots }

// slotWait returns the time until the team's requests in flight leave slots for
// those in its queue.
func (q *team) slotWait() time.Duration {
	excess := q.inFlight + q.queue.tokens - q.limits.Slots
	if q.limits.Slots <= 0 || excess < 0 || math.IsInf(q.limits.Rate, 1) {
		return 0
	}
	return seconds(float64(excess) / q.limits.Rate)
}

// rateWait returns the time until the team's rate covers the queued requests.
func (q *team) rateWait() time.Duration {
	missing := float64(q.queue.tokens) - q.level
	if missing < 0 || missing == 0 && q.level > 0 || math.IsInf(q.limits.Rate, 1) {
		return 0
	}
	return seconds(missing / q.limits.Rate)
}

// maxDuration is the longest estimated wait. It keeps estimates at a rate of zero
// from overflowing time.Duration.
const maxDuration = time.Hour

func seconds(s float64) time.Duration {
	if !(s < maxDuration.Seconds()) {
		return maxDuration
	}
	return time.Duration(s * float64(time.Second))
}
