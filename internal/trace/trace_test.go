package trace

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// randomEvent returns plausible events mixed with outdated ones and events of
// unknown attempts.
func randomEvent(rng *rand.Rand, tokens int) continuation.Event {
	attempt := ident.AttemptID(fmt.Sprintf("a%d", rng.IntN(3)))
	index := max(0, tokens+[]int{0, 0, 0, 0, -1, 1}[rng.IntN(6)])
	switch rng.IntN(14) {
	case 0:
		return continuation.Placed{Attempt: ident.AttemptID(fmt.Sprintf("a%d", rng.IntN(3)+rng.IntN(2)*rng.IntN(1000))), Backend: "e1", FirstTokenLimit: time.Second}
	case 1:
		return continuation.Broken{Attempt: attempt, Rejected: rng.IntN(2) == 0, Reason: "reset <é>"}
	case 2:
		return continuation.Probed{Attempt: attempt, Alive: rng.IntN(2) == 0, Tokens: index, SilenceLimit: time.Second}
	case 3:
		return continuation.Tick{}
	case 4:
		return continuation.Protection{Available: rng.IntN(2) == 0}
	case 5:
		return continuation.PlacementFailed{RetryAfter: time.Duration(rng.IntN(2)) * time.Second, Reason: "none"}
	case 6:
		if rng.IntN(20) == 0 {
			return []continuation.Event{continuation.CallerGone{}, continuation.TakenOver{}, continuation.Ended{Attempt: attempt}}[rng.IntN(3)]
		}
		return continuation.Token{Attempt: attempt, Index: index, Finish: "stop", SilenceLimit: time.Second}
	case 7, 8, 9:
		return continuation.Acknowledged{Tokens: index}
	}
	return continuation.Token{Attempt: attempt, Index: index, Text: " word", SilenceLimit: time.Duration(rng.IntN(300)) * time.Millisecond}
}

// randomSession records a machine that receives random events. Attempt ids are
// unique, as in production: a placement whose id was already used is skipped.
func randomSession(seed uint64) (*Recording, []Step) {
	rng := rand.New(rand.NewPCG(seed, 0))
	header := Header{Host: "h1", Request: "r1", Config: continuation.DefaultConfig}
	header.Config.ReleaseAfterAck = rng.IntN(2) == 0
	header.Config.MaxAttempts = 100
	header.Start.Tokens = []string{"", "one two"}[:2*rng.IntN(2)]
	if rng.IntN(4) == 0 {
		header.Start.Attempt, header.Start.Backend = "a0", "e0"
	}
	recording := NewRecording(header, NewBudget(1<<30))
	machine := header.Start.newMachine(header.Config)
	now := time.Now()
	used := map[ident.AttemptID]bool{"a0": true}
	var steps []Step
	began := now
	for event := continuation.Event(continuation.Started{}); len(steps) < 400 && !machine.Done(); {
		if placed, ok := event.(continuation.Placed); !ok || !used[placed.Attempt] {
			if ok {
				used[placed.Attempt] = true
			}
			actions := machine.Step(now, event)
			recording.Add(now, event, actions)
			steps = append(steps, Step{At: now.Sub(began), Event: event, Actions: actions})
		}
		now = now.Add(time.Duration(rng.Int64N(int64(150 * time.Millisecond))))
		event = randomEvent(rng, machine.Journal().Len())
	}
	return recording, steps
}

func writeToString(t *testing.T, session Session) string {
	t.Helper()
	var b bytes.Buffer
	if err := Write(&b, session); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Guards against a recording that loses or changes a step, an encoding that changes
// when it is read and written again, a replay that depends on the clock, and a
// state machine that violates the rules under some order of events.
func TestRecordedSessionsReplay(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		recording, steps := randomSession(seed)
		session := recording.Session()
		if len(session.Steps) != len(steps) {
			t.Fatalf("seed %d: %d of %d steps were recorded", seed, len(session.Steps), len(steps))
		}
		written := writeToString(t, session)
		report, err := Replay(strings.NewReader(written))
		if err != nil || !report.OK() || report.Sessions[0].Events != len(steps) {
			t.Fatalf("seed %d: error %v, report %+v\n%s", seed, err, report, written)
		}
		session.Steps = steps
		if again := writeToString(t, session); again != written {
			t.Fatalf("seed %d: recorded\n%s\nmachine\n%s", seed, written, again)
		}
		read, err := Read(strings.NewReader(written))
		if err != nil || len(read) != 1 || writeToString(t, read[0]) != written {
			t.Fatalf("seed %d: reading gives %v", seed, err)
		}
	}
}

// Guards against a recording that grows without bound. At a limit it must keep the
// first steps of the session in a form that can be replayed, be marked as truncated,
// and return its memory when it is freed.
func TestRecordingIsBounded(t *testing.T) {
	for name, budget := range map[string]*Budget{"recording": NewBudget(1 << 30), "budget": NewBudget(20_000)} {
		recording := NewRecording(Header{Config: continuation.Config{MaxAttempts: 1}}, budget)
		machine := Start{}.newMachine(continuation.Config{MaxAttempts: 1})
		now := time.Now()
		add := func(event continuation.Event) { recording.Add(now, event, machine.Step(now, event)) }
		add(continuation.Started{})
		add(continuation.Placed{Attempt: "a", FirstTokenLimit: time.Second})
		for i := range 40_000 {
			now = now.Add(17 * time.Millisecond)
			add(continuation.Token{Attempt: "a", Index: i, Text: " word", SilenceLimit: time.Second})
		}
		if !recording.Truncated() || recording.Bytes() > MaxRecordingBytes || budget.Used() > budget.limit {
			t.Errorf("%s: truncated %t at %d bytes", name, recording.Truncated(), recording.Bytes())
		}
		report, err := Replay(strings.NewReader(writeToString(t, recording.Session())))
		if err != nil || !report.OK() || !report.Sessions[0].Truncated || report.Sessions[0].Tokens < 100 {
			t.Errorf("%s: error %v, report %+v", name, err, report)
		}
		recording.Free()
		if budget.Used() != 0 {
			t.Errorf("%s: %d bytes are still reserved after Free", name, budget.Used())
		}
	}
	if NewRecording(Header{}, NewBudget(10)) != nil {
		t.Error("a recording was created although the budget is too small")
	}
}

const validTrace = `{"trace_version":1,"host":"h1","customer":"c","request":"r","generation":"g","started_at":"2026-01-01T00:00:00Z","truncated":false,"config":{"weight":0.85,"max_attempts":5,"release_after_ack":false,"linger_ns":5000000000},"start":{"tokens":[],"released":0,"finished":"","attempt":"","backend":""}}
{"at_ns":0,"event":{"kind":"started","value":{}},"actions":[{"kind":"place","value":{"resume":false,"exclude":null}}]}
{"at_ns":9,"event":{"kind":"placed","value":{"attempt":"a1","backend":"e1","first_token_limit_ns":1000000000}},"actions":[{"kind":"open","value":{"attempt":"a1","backend":"e1","tokens":0}}]}
{"at_ns":10,"event":{"kind":"token","value":{"attempt":"a1","index":0,"text":"x","finish":"stop","silence_limit_ns":5}},"actions":[{"kind":"replicate","value":{"index":0,"finish":"stop"}},{"kind":"release","value":{"from":0,"to":1}},{"kind":"finish","value":{"reason":"stop"}}]}
`

// Guards against a lenient decoder, which would accept a changed format or a
// damaged file as a session.
func TestMalformedTracesAreRefused(t *testing.T) {
	if report, err := Replay(strings.NewReader(validTrace)); err != nil || !report.OK() || report.Sessions[0].End != EndFinished {
		t.Fatalf("error %v, report %+v", err, report)
	}
	for _, test := range []struct {
		old, new string
		code     Code
		want     string
	}{
		{`"kind":"started"`, `"kind":"begun"`, CodeMalformed, `line 2: event: unknown kind "begun"`},
		{`"kind":"finish"`, `"kind":"stop"`, CodeMalformed, `line 4: action 2: unknown kind "stop"`},
		{`"text":"x"`, `"words":"x"`, CodeMalformed, `line 4: event: kind "token": json: unknown field "words"`},
		{`"text":"x",`, ``, CodeMalformed, "line 4: column"},
		{`"index":0,"text"`, `"index":0,"index":0,"text"`, CodeMalformed, "line 4: column"},
		{`"index":0,"text"`, `"Index":0,"text"`, CodeMalformed, "line 4: column"},
		{`{"at_ns":9,`, `{"at_ns": 9,`, CodeMalformed, "line 3: column"},
		{`{"at_ns":9,`, `{"at_ns":99,`, CodeMalformed, "line 4: time 10 ns is before"},
		{`{"at_ns":9,`, `{"at_ns":-1,`, CodeMalformed, "line 3: time -1 ns is before"},
		{`"trace_version":1`, `"trace_version":2`, CodeVersion, "line 1: trace version 2"},
		{`"host":"h1"`, `"node":"h1"`, CodeMalformed, `line 1: json: unknown field "node"`},
		{`"released":0`, `"released":1`, CodeMalformed, "line 1: 1 tokens are released of a journal of 0"},
		{"]}\n", "]}\r\n", CodeMalformed, "line 2: column"},
		{validTrace, "", CodeMalformed, "empty"},
		// Guards against a reader that treats an empty line as the end of the trace
		// and does not replay the lines after it.
		{"]}\n", "]}\n\n", CodeMalformed, "line 3: "},
		{validTrace[:strings.Index(validTrace, "\n")+1], "", CodeMalformed, "line 1: an event precedes"},
		{`"x"`, `"` + strings.Repeat("x", maxLineBytes) + `"`, CodeTooLarge, "line 4 has more than"},
		{validTrace, strings.Repeat(validTrace, maxSessions+1), CodeTooLarge, "more than 64 sessions"},
	} {
		_, err := Replay(strings.NewReader(strings.Replace(validTrace, test.old, test.new, 1)))
		if CodeOf(err) != test.code || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%.40s for %.40s: %v, want %s %q", test.new, test.old, err, test.code, test.want)
		}
	}
}

// Guards against events or actions that were added to package continuation but have
// no kind in the format, so that their sessions cannot be written.
func TestFormatCoversAllKinds(t *testing.T) {
	if len(eventKinds.names) != 12 || len(actionKinds.names) != 15 {
		t.Errorf("%d events and %d actions have a kind", len(eventKinds.names), len(actionKinds.names))
	}
	for _, types := range []map[string]reflect.Type{eventKinds.types, actionKinds.types} {
		for name, kind := range types {
			for i := range kind.NumField() {
				if kind.Field(i).Tag.Get("json") == "" {
					t.Errorf("field %s of kind %q has no name in the format", kind.Field(i).Name, name)
				}
			}
		}
	}
}

// Guards against a decoder that panics or that accepts two encodings of one trace.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validTrace))
	f.Fuzz(func(t *testing.T, input []byte) {
		sessions, err := Read(bytes.NewReader(input))
		if _, replayErr := Replay(bytes.NewReader(input)); (err == nil) != (replayErr == nil) {
			t.Fatalf("read: %v, replay: %v", err, replayErr)
		}
		if err != nil {
			return
		}
		var b bytes.Buffer
		for _, s := range sessions {
			if err := Write(&b, s); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(bytes.TrimSuffix(input, []byte("\n")), bytes.TrimSuffix(b.Bytes(), []byte("\n"))) {
			t.Fatalf("read\n%q\nencoded again\n%q", input, b.Bytes())
		}
	})
}

// BenchmarkRecording measures the cost of recording for each token of a stream,
// which has one token event and one acknowledgement. "off" runs the same loop
// without recording.
func BenchmarkRecording(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "off", true: "on"}[on], func(b *testing.B) {
			b.ReportAllocs()
			budget := NewBudget(1 << 30)
			now := time.Now()
			recording := NewRecording(Header{}, budget)
			for i := range b.N {
				index := i % 5000
				if index == 0 {
					recording.Free()
					recording = NewRecording(Header{}, budget)
				}
				now = now.Add(54*time.Millisecond + time.Duration(i%8000)*time.Microsecond)
				var token continuation.Event = continuation.Token{Attempt: "a", Index: index, Text: " word", SilenceLimit: time.Second + time.Duration(i%5000)*time.Microsecond}
				accepted := []continuation.Action{continuation.Replicate{Index: index}}
				var acknowledged continuation.Event = continuation.Acknowledged{Tokens: index + 1}
				released := []continuation.Action{continuation.Release{From: index, To: index + 1}}
				if on {
					recording.Add(now, token, accepted)
					now = now.Add(time.Millisecond + time.Duration(i%1000)*time.Microsecond)
					recording.Add(now, acknowledged, released)
				}
			}
			if tokens := recording.state.tokens; tokens > 0 {
				var text bytes.Buffer
				if err := Write(&text, recording.Session()); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(recording.log))/float64(tokens), "log-B/token")
				b.ReportMetric(float64(text.Len())/float64(tokens), "text-B/token")
			}
		})
	}
}
