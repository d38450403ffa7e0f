package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/urgency"
)

const (
	// workWeight and speedWeight are the weights of the latest call in the moving averages of
	// the time of a call and of the speed of a server.
	workWeight  = 0.05
	speedWeight = 0.1
	// minSpeed and maxSpeed bound the time that a server takes as a multiple of the usual.
	minSpeed, maxSpeed = 0.3, 6.0
	// minAhead is the smallest number of calls beyond the slots that are kept at a server, and
	// maxAhead the largest one as a part of its slots. It rises by aheadStep with each answer
	// that shows an idle slot while calls wait, and falls by half of that while calls wait at
	// the server.
	minAhead, maxAhead = 1.0, 2.0
	aheadStep          = 0.25
	// paceMemory is the time after which two thirds of what a report says of the pace no
	// longer hold: it changes many times a second.
	paceMemory = 400 * time.Millisecond
	// loadTTL is the age up to which a reported load counts.
	loadTTL = 60 * time.Millisecond
	// patience is how much longer than at another server a call may take at one that is free,
	// if it would be in time there after a wait.
	patience = 1.8
)

// server is what the dispatcher knows of one server. Guarded by Service.mu.
type server struct {
	id          ident.BackendID
	usable      bool
	slots       int
	leased      int
	pausedUntil time.Time
	// speed is the time that a call takes here at the usual pace, as a multiple of that at a
	// server of usual speed.
	speed  float64
	pace   float64 // as reported last; 0 if the server reports none
	paceAt time.Time
	// foreign is the number of calls here that the dispatcher did not assign, as the latest
	// report shows.
	foreign   int
	foreignAt time.Time
	// ahead is the number of calls beyond the slots that are kept here, so that the next one
	// is there when one ends: the news of an end takes its time, and so do busy hosts.
	ahead float64
}

// measured records the time of a call, and returns the usual time of one.
func (x *server) measured(usual, took time.Duration, now time.Time) time.Duration {
	// The wait in the server's own queue is a part of the time while it has more calls than
	// slots.
	queued := max(1, float64(x.leased+1)/float64(x.slots))
	ratio := float64(took) / queued / float64(usual)
	own := ratio / x.currentPace(now)
	x.speed = min(max(x.speed+speedWeight*(own-x.speed), minSpeed), maxSpeed)
	return time.Duration(float64(usual) * (1 + workWeight*(min(own/x.speed, 3)-1)))
}

// reported records the load that the server has reported. pressed is set if calls wait.
func (x *server) reported(now time.Time, l Load, pressed bool) {
	slots := x.slots
	if l.Slots > 0 {
		slots = l.Slots
	}
	switch {
	case pressed && l.Waiting == 0 && l.Running < slots:
		x.ahead = min(x.ahead+aheadStep, maxAhead*float64(x.slots))
	case l.Waiting > 1:
		x.ahead = max(x.ahead-aheadStep/2, minAhead)
	}
	if l.Pace > 0 {
		x.pace, x.paceAt = min(max(l.Pace, minSpeed), maxSpeed), now
	}
	x.foreign, x.foreignAt = max(0, l.Running+l.Waiting-x.leased-1), now
}

// currentPace returns the expected pace now: the reported one, which fades.
func (x *server) currentPace(now time.Time) float64 {
	if x.pace <= 0 {
		return 1
	}
	return 1 + (x.pace-1)*math.Exp(-float64(now.Sub(x.paceAt))/float64(paceMemory))
}

// expected returns the time that a call takes here once it runs.
func (x *server) expected(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * x.speed * x.currentPace(now))
}

// occupied returns the number of calls here.
func (x *server) occupied(now time.Time) int {
	if now.Sub(x.foreignAt) < loadTTL {
		return x.leased + x.foreign
	}
	return x.leased
}

// capacity returns the number of calls that may be here.
func (x *server) capacity() int {
	return x.slots + int(max(x.ahead, minAhead))
}

// finish returns the time until a call that is sent here now is answered.
func (x *server) finish(now time.Time, usual time.Duration) time.Duration {
	one := x.expected(now, usual)
	ahead := x.occupied(now) - x.slots + 1 // calls that must end before it begins
	return one + max(0, time.Duration(ahead))*one/time.Duration(x.slots)
}

// candidates returns the servers that a call may be sent to, free or not.
func (s *Service) candidates(now time.Time, w *waiter) []*server {
	var list []*server
	for _, x := range s.ordered {
		if x.usable && !now.Before(x.pausedUntil) && !slices.Contains(w.call.Except, x.id) {
			list = append(list, x)
		}
	}
	return list
}

// choose returns the free server at which a call is answered first, or nil if none is free or
// the call does better to wait for another one.
func (s *Service) choose(now time.Time, w *waiter) *server {
	usual := s.usualTime()
	var best, soonest *server
	for _, x := range s.candidates(now, w) {
		if soonest == nil || x.finish(now, usual) < soonest.finish(now, usual) {
			soonest = x
		}
		free := x.occupied(now) < x.capacity()
		if free && (best == nil || x.finish(now, usual) < best.finish(now, usual)) {
			best = x
		}
	}
	if best == nil || best == soonest || w.call.Optional {
		return best
	}
	left := w.objective.Sub(now)
	if late, early := best.finish(now, usual), soonest.finish(now, usual); late > left && early <= left && float64(late) > patience*float64(early) {
		return nil
	}
	return best
}

// anyServeable reports whether a server is free for a call that waits. Calls that wait for a
// server which others may not be sent to, or for a faster one, do not keep back the others.
func (s *Service) anyServeable(now time.Time) bool {
	if len(s.waiting) == 0 || !s.anyFree(now) {
		return false
	}
	return slices.ContainsFunc(s.waiting, func(w *waiter) bool { return s.choose(now, w) != nil })
}

// allows reports whether a call may be sent to a server, now or later, or there is no server
// at all, which may change.
func (s *Service) allows(except []ident.BackendID) bool {
	if len(except) == 0 {
		return true
	}
	none := true
	for _, x := range s.ordered {
		if x.usable && !slices.Contains(except, x.id) {
			return true
		}
		none = none && !x.usable
	}
	return none
}

func (s *Service) anyFree(now time.Time) bool {
	for _, x := range s.ordered {
		if x.usable && !now.Before(x.pausedUntil) && x.occupied(now) < x.capacity() {
			return true
		}
	}
	return false
}

// fastest returns the shortest time in which a server runs a call.
func (s *Service) fastest(now time.Time) time.Duration {
	best := s.usualTime()
	first := true
	for _, x := range s.ordered {
		if e := x.expected(now, s.usualTime()); x.usable && (first || e < best) {
			best, first = e, false
		}
	}
	return best
}

// rate returns the calls that all servers end in a second.
func (s *Service) rate(now time.Time) float64 {
	sum := 0.0
	for _, x := range s.ordered {
		if x.usable && !now.Before(x.pausedUntil) {
			sum += float64(x.slots) / x.expected(now, s.usualTime()).Seconds()
		}
	}
	return sum
}

// drainTime returns the time in which the calls that wait are begun.
func (s *Service) drainTime(now time.Time) time.Duration {
	rate := s.rate(now)
	if rate <= 0 {
		return lostPause
	}
	return time.Duration(float64(len(s.waiting)+1) / rate * float64(time.Second))
}

// expectedWait returns the time until a call that comes now is answered, if those that are more
// urgent go before it.
func (s *Service) expectedWait(now time.Time, w *waiter) time.Duration {
	rate := s.rate(now)
	if rate <= 0 {
		return lostPause
	}
	before := 1
	order := s.newOrder(now)
	request := order.request(w)
	for _, other := range s.waiting {
		if !urgency.Before(request, order.request(other)) {
			before++
		}
	}
	return time.Duration(float64(before)/rate*float64(time.Second)) + s.fastest(now)
}
