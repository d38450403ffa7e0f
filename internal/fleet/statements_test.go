package fleet

import (
	"testing"
	"time"
)

// returnAfterLapse removes a server whose entry has lapsed, and lists it again with its next
// report.
func returnAfterLapse(f *Fleet, removed, returned time.Time, s *Server) *Server {
	e := s.Entry
	f.Remove(removed, s.ID, false)
	e.Sequence++
	e.Draining = false
	f.Put(returned, e)
	return f.Server(e.ID)
}

// Guards against a node that loses what a server has said in its answers when the entry of
// the server lapses in an outage of the store and comes back: the server would get requests
// that it does not want.
func TestStatementsOutlastLapsedEntry(t *testing.T) {
	t.Run("pause", func(t *testing.T) {
		f := testFleet(1)
		f.RecordRetryAfter(at(0), f.Server("a0"), 10*time.Second)
		s := returnAfterLapse(f, at(1000), at(3000), f.Server("a0"))
		if !f.InBackoff(s, at(9000)) || f.InBackoff(s, at(11000)) {
			t.Error("the server must be left alone for the 10 s that it asked for")
		}
	})
	t.Run("limit", func(t *testing.T) {
		f := testFleet(1)
		f.RecordLimit(at(0), f.Server("a0"), 2)
		s := returnAfterLapse(f, at(1000), at(3000), f.Server("a0"))
		if got := f.LimitOf(at(3000), s); got.PerSecond != 2 || got.AgeMs != 3000 {
			t.Errorf("limit %+v, want 2 a second, stated 3 s ago", got)
		}
	})
	t.Run("leaving", func(t *testing.T) {
		f := testFleet(1)
		f.RecordLeaving("a0", 1)
		s := returnAfterLapse(f, at(1000), at(3000), f.Server("a0"))
		if f.IsUsable(s, at(3000)) {
			t.Error("a server that is leaving is used")
		}
	})
	t.Run("next incarnation", func(t *testing.T) {
		f := testFleet(1)
		s := f.Server("a0")
		f.RecordLeaving("a0", 1)
		f.RecordRetryAfter(at(0), s, 10*time.Second)
		f.RecordLimit(at(0), s, 2)
		e := s.Entry
		e.Incarnation, e.Sequence, e.Draining = 2, 1, false
		f.Put(at(1000), e)
		next := f.Server("a0")
		if !f.IsUsable(next, at(1000)) || f.InBackoff(next, at(1000)) || f.Limited(next) {
			t.Error("statements of an earlier incarnation are taken for those of the next one")
		}
	})
}

// Guards against a server that starts while its service is brittle and gets requests without
// permission until its first answer: it falls over again.
func TestServerStartsBrittleInBrittleService(t *testing.T) {
	f := testFleet(1)
	f.RecordBrittle(at(0), f.Server("a0"), 3)
	f.RecordBrittle(at(100), f.Server("b0"), 2)
	f.Remove(at(1000), "b0", false)

	e := f.Server("a0").Entry
	e.ID = "a1"
	f.Put(at(2000), e)
	s := f.Server("a1")
	if got := f.LimitOf(at(2000), s); !got.Brittle || got.MaxRejected != 2 {
		t.Errorf("limit of the new server: %+v, want brittle with 2, as stated last", got)
	}

	other := e
	other.ID, other.Service = "x0", "other"
	f.Put(at(2000), other)
	if f.Limited(f.Server("x0")) {
		t.Error("a server of another service is taken for brittle")
	}

	if !f.RecordNotBrittle(at(2100), s) || f.Brittle(s) {
		t.Error("the server's own answer must hold")
	}
}

// Guards against servers that are taken for brittle for ever because each one that starts
// takes it from the one before.
func TestServiceIsNotBrittleForEver(t *testing.T) {
	f := testFleet(1)
	f.RecordBrittle(at(0), f.Server("a0"), 3)
	e := f.Server("a0").Entry
	now := at(0)
	for range 5 {
		now = now.Add(statementTTL / 2)
		f.Remove(now, e.ID, false)
		e.Incarnation++
		f.Put(now, e)
		f.Expire(now)
	}
	if f.Limited(f.Server("a0")) || len(f.remembered) > 0 {
		t.Errorf("still brittle %v after the last statement", now.Sub(at(0)))
	}
}
