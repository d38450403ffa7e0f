package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// TestCrashingRequestIsStopped guards the bound on the number of servers that one
// crashing request crashes when its caller retries it under new request ids through
// all nodes. It also guards against refusing harmless requests meanwhile.
func TestCrashingRequestIsStopped(t *testing.T) {
	for delay, seeds := range map[time.Duration]uint64{0: 8, 500 * time.Millisecond: 8, 2 * time.Second: 4, 5 * time.Second: 2} {
		t.Run(delay.String(), func(t *testing.T) {
			// While evidence is delayed, the request is placed again every
			// crashAfter+tick.
			bound := 2 + int(delay/(crashAfter+tick)) + 1
			if delay == 0 {
				bound = 2
			}
			worst, waiting := 0, 0
			for seed := range seeds {
				sim := newSimulation(seed, delay)
				sim.addCrashingRequest("crasher")
				sim.run(int((8*time.Second + 4*delay) / tick))
				worst, waiting = max(worst, sim.killed), max(waiting, sim.waitTicks)
				if sim.killed > bound {
					t.Errorf("seed %d: %d servers killed, bound %d", seed, sim.killed, bound)
				}
				if sim.refused > 0 {
					t.Errorf("seed %d: harmless requests refused %d times", seed, sim.refused)
				}
				for i, n := range sim.nodes {
					if v := n.Verdict("crasher"); v != Confirmed {
						t.Errorf("seed %d: node %d finds the crashing request %s", seed, i, v)
					}
				}
			}
			t.Logf("delay %s: at most %d servers killed, bound %d; harmless requests waited %s at most in all",
				delay, worst, bound, time.Duration(waiting)*tick)
		})
	}
}

// TestRackLossConfirmsNoRequest guards against refusing harmless requests after the
// loss of a quarter of the servers, also shortly after the loss of a single server
// or shortly before the loss of another quarter.
func TestRackLossConfirmsNoRequest(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Second} {
		for seed := range uint64(2) {
			sim := newSimulation(seed, delay)
			single := sim.random.IntN(serverCount)
			sim.kill([]int{single})
			sim.run(sim.random.IntN(30))
			sim.kill(sim.random.Perm(serverCount)[:serverCount/4+1])
			sim.run(sim.random.IntN(30))
			sim.kill(sim.random.Perm(serverCount)[:serverCount/4+1])
			sim.run(int(8 * time.Second / tick))
			if sim.refused > 0 {
				t.Errorf("delay %s, seed %d: harmless requests refused %d times", delay, seed, sim.refused)
			}
			for _, n := range sim.nodes {
				if len(n.confirmed) > 0 {
					t.Errorf("delay %s, seed %d: confirmed %v", delay, seed, n.confirmed)
				}
			}
		}
	}
}

// TestFingerprint guards against retries that get a new fingerprint, and against
// different requests that get the same one.
func TestFingerprint(t *testing.T) {
	base := FingerprintOf("c", []byte(`{"model":"m","prompt":"p","n":1}`))
	for body, same := range map[string]bool{
		` { "prompt" : "p", "n":1, "model":"m" }`:              true,
		`{"model":"m","prompt":"p","n":1,"request_id":"x"}`:    true,
		`{"model":"m","prompt":"p","n":1,"stream":true}`:       true,
		`{"model":"m","prompt":"q","n":1}`:                     false,
		`{"model":"m","prompt":"p","n":9007199254740993}`:      false,
		`{"model":"m","prompt":"p","n":1} {}`:                  false,
		`not JSON`:                                             false,
		`{"model":"m","prompt":"p","n":1,"x":{"stream":true}}`: false,
	} {
		if got := FingerprintOf("c", []byte(body)) == base; got != same {
			t.Errorf("%s: same = %v, want %v", body, got, same)
		}
	}
	if FingerprintOf("d", []byte(`{"model":"m","prompt":"p","n":1}`)) == base {
		t.Error("two teams share a fingerprint")
	}
}

// TestBoundsAndExpiry guards against memory use that grows with the number of deaths,
// and against evidence that is kept for longer than EvidenceLifetime.
func TestBoundsAndExpiry(t *testing.T) {
	now, n := time.Unix(1e6, 0), New("a")
	for i := range 3 * maxDeaths {
		now = now.Add(10 * time.Millisecond)
		server, attempt := ident.BackendID(fmt.Sprint(i)), ident.AttemptID(fmt.Sprint(i))
		n.Started(attempt, Fingerprint(attempt), server)
		n.Died(now, server, 1)
	}
	if len(n.deaths) != maxDeaths || len(n.byInstance) != maxDeaths || len(n.byRequest) != maxDeaths || len(n.runs) != 0 {
		t.Errorf("%d deaths, %d instances, %d requests, %d runs", len(n.deaths), len(n.byInstance), len(n.byRequest), len(n.runs))
	}
	n.Expire(now.Add(EvidenceLifetime + time.Second))
	if len(n.deaths)+len(n.byInstance)+len(n.byRequest) != 0 {
		t.Error("evidence kept after its lifetime")
	}
}

// TestCompletedSuspectIsCleared guards against deaths that still count against a
// suspect after it has run to completion.
func TestCompletedSuspectIsCleared(t *testing.T) {
	now, n := time.Unix(1e6, 0), New("a")
	n.Started("1", "f", "s1")
	n.Died(now, "s1", 1)
	if n.Verdict("f") != Suspect {
		t.Fatal("no suspect after the first death")
	}
	n.Started("2", "f", "s2")
	n.Finished(now.Add(time.Second), "2", true)
	if n.Verdict("f") != Clear {
		t.Fatal("suspect after it finished")
	}
	n.Started("3", "f", "s3")
	n.Died(now.Add(time.Minute), "s3", 1)
	n.Expire(now.Add(2 * time.Minute))
	if n.Verdict("f") != Suspect {
		t.Fatal(n.Verdict("f"))
	}
}

// TestSuspectsWithTokensShareServers guards against interrupted answers that wait
// for a server of their own: after the loss of a server, only requests that had
// delivered no token on it need isolation.
func TestSuspectsWithTokensShareServers(t *testing.T) {
	now, n := time.Unix(1e6, 0), New("a")
	for i := range 20 {
		attempt := ident.AttemptID(fmt.Sprint(i))
		n.Started(attempt, Fingerprint(attempt), "s1")
		n.FirstTokenDelivered(attempt)
	}
	n.Started("starting", "starting", "s1")
	n.Died(now, "s1", 1)
	for i := range 20 {
		f := Fingerprint(fmt.Sprint(i))
		if n.Verdict(f) != Suspect || !n.MayPlace(f, "s2") {
			t.Fatalf("request %d: %s, may be placed: %t", i, n.Verdict(f), n.MayPlace(f, "s2"))
		}
		n.Started(ident.AttemptID(fmt.Sprint("again-", i)), f, "s2")
	}
	if !n.MayPlace("starting", "s2") {
		t.Fatal("suspects that need no isolation block a server")
	}
	n.Started("starting-again", "starting", "s2")
	n.Died(now.Add(time.Second), "s2", 1)
	n.Expire(now.Add(time.Minute))
	if n.Verdict("starting") != Confirmed || len(n.confirmed) != 1 {
		t.Errorf("the request is %s, %d confirmed in all", n.Verdict("starting"), len(n.confirmed))
	}
}

// TestTwoServerDeathsDuringOneAnswer guards against refusing or delaying a long
// answer whose servers die twice for other reasons, the second time before the
// resumed attempt delivered a token. It also guards the bound of three crashed servers
// for a request that crashes servers only when it is resumed.
func TestTwoServerDeathsDuringOneAnswer(t *testing.T) {
	now, n := time.Unix(1e6, 0), New("a")
	n.Started("1", "f", "s1")
	n.FirstTokenDelivered("1")
	n.Died(now, "s1", 1)
	n.Started("2", "f", "s2")
	n.Died(now.Add(time.Second), "s2", 1)
	if !n.MayPlace("f", "s3") {
		t.Fatal("the resumed attempt may not be placed")
	}
	n.Expire(now.Add(time.Minute))
	if n.Verdict("f") != Suspect {
		t.Fatalf("after two deaths: %s", n.Verdict("f"))
	}
	n.Started("3", "f", "s3")
	n.Died(now.Add(time.Minute), "s3", 1)
	n.Expire(now.Add(2 * time.Minute))
	if n.Verdict("f") != Confirmed {
		t.Errorf("after three deaths: %s", n.Verdict("f"))
	}
}

// TestEvidenceInAnyOrder guards against verdicts that depend on the order in which
// evidence arrives or on repeated arrivals, which differ from node to node.
func TestEvidenceInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		start := time.Unix(1e6, 0)
		var all []Evidence
		for i := range 12 {
			at := start.Add(time.Duration(random.IntN(60_000)) * time.Millisecond)
			report := DeathReport{Server: ident.BackendID(fmt.Sprint(random.IntN(8))), Incarnation: ident.Incarnation(random.IntN(2)), At: at}
			for range 3 {
				report.Running = append(report.Running, Fingerprint(fmt.Sprint(random.IntN(10))))
			}
			report.Starting = report.Running[:random.IntN(3)]
			e := Evidence{From: ident.HostID(fmt.Sprint(i % 3)), SentAt: start.Add(2 * time.Minute), Deaths: []DeathReport{report}}
			finding := []Finding{{Fingerprint(fmt.Sprint(random.IntN(10))), at}}
			switch random.IntN(8) {
			case 0:
				e.Cleared = finding
			case 1:
				e.Confirmed = finding
			}
			all = append(all, e)
		}
		now := start.Add(3 * time.Minute)
		var want string
		for range 4 {
			n := New("n")
			for _, i := range append(random.Perm(len(all)), random.Perm(len(all))...) {
				n.MergeEvidence(now, all[i])
			}
			n.Expire(now)
			got := ""
			for f := range 10 {
				got += n.Verdict(Fingerprint(fmt.Sprint(f))).String() + " "
			}
			if want == "" {
				want = got
			}
			if got != want {
				t.Fatalf("seed %d: verdicts\n%s\n%s", seed, want, got)
			}
		}
	}
}

// TestLossBeforeDeath guards against ignoring a crashing request whose lost
// connection is detected before the death of its server: the request must count as
// running there. A connection lost long before the death must not count.
func TestLossBeforeDeath(t *testing.T) {
	now, n := time.Unix(1e6, 0), New("a")
	n.Started("1", "f", "s1")
	n.Lost(now, "1")
	n.Died(now.Add(time.Second), "s1", 1)
	if n.Verdict("f") != Suspect {
		t.Errorf("after the death: %s", n.Verdict("f"))
	}
	n.Started("2", "g", "s2")
	n.Lost(now, "2")
	n.Expire(now.Add(lostLifetime + time.Second))
	n.Died(now.Add(time.Minute), "s2", 1)
	if n.Verdict("g") != Clear {
		t.Errorf("long after the loss: %s", n.Verdict("g"))
	}
}
