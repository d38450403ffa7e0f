package continuation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// maxResumeLatency is the maximum time that an answer may pause after a loss.
const maxResumeLatency = 4 * time.Second

// scenarios are sessions with known outcomes; their traces are golden files.
var scenarios = []struct {
	name   string
	weight float64
	fault  func(s *simulation)
	// opened is the expected number of streams, which detects unnecessary new
	// attempts.
	opened int
}{
	{"undisturbed", 0.85, func(*simulation) {}, 1},
	{"engine killed", 0.85, func(s *simulation) { s.current().kill(s) }, 2},
	{"engine frozen", 0.85, func(s *simulation) { s.current().frozen = true }, 2},
	{"engine frozen and back", 0.85, func(s *simulation) {
		e := s.current()
		e.frozen = true
		s.after(3*time.Second, func() { e.frozen = false })
	}, 2},
	{"engine pauses shorter than the probe wait", 0.5, func(s *simulation) {
		e := s.current()
		e.frozen = true
		s.after(600*time.Millisecond, func() { e.frozen = false })
	}, 1},
	{"connection silent", 0.85, func(s *simulation) { s.silenceConnections(s.current()) }, 1},
	{"connection silent, weight 1", 1, func(s *simulation) { s.silenceConnections(s.current()) }, 1},
	{"engine frozen, weight 0", 0, func(s *simulation) { s.current().frozen = true }, 2},
	{"two engines killed", 0.85, func(s *simulation) {
		s.current().kill(s)
		s.after(300*time.Millisecond, func() { s.current().kill(s) })
	}, 3},
}

func (e *engine) kill(s *simulation) { s.kill(e) }

// current returns the engine of the current attempt.
func (s *simulation) current() *engine {
	_, id := s.machine.CurrentAttempt()
	if e := s.engine(id); e != nil {
		return e
	}
	return s.engines[0]
}

// Guards against unintended changes of complete sessions: what is opened, probed
// and cancelled, and when.
func TestScenarios(t *testing.T) {
	for _, test := range scenarios {
		t.Run(test.name, func(t *testing.T) {
			config := DefaultConfig
			config.Weight = test.weight
			s := newSimulation(t, 1, config)
			s.after(1500*time.Millisecond, func() { test.fault(s) })
			s.run()
			s.checkAnswer()
			if !s.finished {
				t.Fatalf("answer did not finish: %s\n%s", s.failed, strings.Join(s.trace, "\n"))
			}
			if s.opened != test.opened {
				t.Errorf("%d streams were opened, want %d", s.opened, test.opened)
			}
			for _, latency := range s.resumes {
				if latency > maxResumeLatency {
					t.Errorf("resume took %v, want at most %v", latency, maxResumeLatency)
				}
			}
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"))
			golden.Assert(t, strings.NewReplacer(" ", "-", ",", "").Replace(test.name), []byte(strings.Join(s.trace, "\n")+"\n"))
		})
	}
}

// Guards against sequences of faults after which a token is missing, repeated or
// from another generation, an answer neither finishes nor fails, or a resume
// takes too long while an engine is available.
func TestRandomFaults(t *testing.T) {
	first, last := uint64(1), uint64(2000)
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	for seed := first; seed <= last; seed++ {
		if !runRandom(t, seed) {
			t.Fatalf("failed; run again with: go test ./internal/continuation -run TestRandomFaults -seed %d", seed)
		}
	}
}

func runRandom(t *testing.T, seed uint64) bool {
	config := DefaultConfig
	s := newSimulation(t, seed, config)
	s.machine.config.Weight = []float64{0, 0.5, 0.85, 1}[s.rng.IntN(4)]
	s.machine.config.ReleaseAfterAck = s.rng.IntN(2) == 0
	for range 1 + s.rng.IntN(4) {
		s.after(time.Duration(s.rng.IntN(5000))*time.Millisecond, func() { s.randomFault() })
	}
	s.run()
	s.checkAnswer()
	if !s.finished && s.failed == "" {
		t.Errorf("seed %d: the answer neither finished nor failed", seed)
	}
	if s.finished && !s.machine.Done() {
		t.Errorf("seed %d: finished but not done", seed)
	}
	for _, latency := range s.resumes {
		// A fault during the recovery from another may add one full recovery;
		// the bound of 4 s is for a single loss.
		if latency > 2*maxResumeLatency {
			t.Errorf("seed %d: resume took %v", seed, latency)
		}
	}
	return !t.Failed()
}

func (s *simulation) randomFault() {
	e := s.engines[s.rng.IntN(len(s.engines))]
	if s.rng.IntN(2) == 0 {
		e = s.current()
	}
	switch s.rng.IntN(4) {
	case 0:
		s.kill(e)
	case 1:
		e.frozen = true
		s.after(time.Duration(s.rng.IntN(4000))*time.Millisecond, func() { e.frozen = false })
	case 2:
		s.silenceConnections(e)
	case 3:
		for _, id := range sortedStreams(e) {
			s.step(Broken{Attempt: id, Reason: "connection reset"})
		}
	}
}

// Guards against nondeterminism: the same events must produce the same actions,
// byte for byte.
func TestReplayGivesTheSameActions(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		var traces [2]string
		for i := range traces {
			s := newSimulation(t, seed, DefaultConfig)
			for range 3 {
				s.after(time.Duration(s.rng.IntN(5000))*time.Millisecond, s.randomFault)
			}
			s.run()
			traces[i] = strings.Join(s.trace, "\n")
		}
		if traces[0] != traces[1] {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// Guards against a fault in the checker: it must reject an answer that another
// engine generated again from the start and from which the tokens already
// delivered were skipped.
func TestSkippedRegenerationIsDetected(t *testing.T) {
	var a, b string
	var fromA, fromB []string
	for range 6 {
		tokenA, tokenB := nextToken("e0", a), nextToken("e1", b)
		fromA, fromB = append(fromA, tokenA), append(fromB, tokenB)
		a, b = a+tokenA, b+tokenB
	}
	mixed := append(append([]string{}, fromA[:3]...), fromB[3:]...)
	text := ""
	for _, token := range mixed {
		id, _, _ := strings.Cut(strings.TrimSpace(token), ":")
		if token != fmt.Sprintf(" %s:%s", id, strings.SplitN(nextToken("x", text), ":", 2)[1]) {
			return
		}
		text += token
	}
	t.Error("the check accepted an answer whose second half is from another generation")
}

// Guards against waiting for the full silence limit on a silent connection
// although the engine answers a probe, and against opening a replacement stream
// in this case.
func TestSilentConnectionResumesBeforeTheLimit(t *testing.T) {
	for _, weight := range []float64{0, 0.85, 1} {
		config := DefaultConfig
		config.Weight = weight
		s := newSimulation(t, 1, config)
		s.after(1500*time.Millisecond, func() { s.silenceConnections(s.current()) })
		s.run()
		s.checkAnswer()
		if len(s.resumes) != 1 || s.resumes[0] >= silenceLimit || s.opened != 1 {
			t.Errorf("weight %v: resumed after %v with %d streams, want one resume below %v on the same stream",
				weight, s.resumes, s.opened, silenceLimit)
		}
	}
}
