package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Operations that faults can be set for.
const (
	OpTxn       = "txn"
	OpRead      = "read"
	OpScan      = "scan"
	OpObjectPut = "object_put"
	OpObjectGet = "object_get"
	OpHosts     = "hosts"
	OpWeights   = "weights"
	OpAll       = "*" // every operation without faults of its own
)

var operations = []string{OpTxn, OpRead, OpScan, OpObjectPut, OpObjectGet, OpHosts, OpWeights, OpAll}

// Fault describes how one operation misbehaves.
type Fault struct {
	// Outage refuses the operation with 503; it does not take effect.
	Outage bool `json:"outage"`
	// LatencyMillis delays the operation before it takes effect.
	LatencyMillis int `json:"latency_ms"`
	// AnswerLatencyMillis delays the answer after the operation took effect.
	AnswerLatencyMillis int `json:"answer_latency_ms"`
	// LostAnswerRate is the part of operations, 0 to 1, that take effect while
	// the connection closes without an answer.
	LostAnswerRate float64 `json:"lost_answer_rate"`
	// LostCallRate is the part of operations, 0 to 1, that take no effect while
	// the connection closes without an answer.
	LostCallRate float64 `json:"lost_call_rate"`
}

// Faults maps operations to their faults. It is the body of the admin route.
type Faults map[string]Fault

func (f Faults) check() error {
	for op, fault := range f {
		if !slices.Contains(operations, op) {
			return fmt.Errorf("operation %q does not exist; operations are %v", op, operations)
		}
		rates := fault.LostAnswerRate >= 0 && fault.LostCallRate >= 0 && fault.LostAnswerRate+fault.LostCallRate <= 1
		if !rates || fault.LatencyMillis < 0 || fault.AnswerLatencyMillis < 0 {
			return fmt.Errorf("faults of %q: latencies must not be negative and rates must add up to at most 1", op)
		}
	}
	return nil
}

// injector decides the fault of each operation.
type injector struct {
	mu sync.Mutex
	// faults and rng are guarded by mu.
	faults Faults
	rng    *rand.Rand
}

func newInjector(seed uint64) *injector {
	return &injector{faults: Faults{}, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// verdict is what happens to one operation.
type verdict struct {
	outage                 bool
	latency, answerLatency time.Duration
	callLost, answerLost   bool
}

func (i *injector) decide(op string) verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.faults[op]
	if !ok {
		f = i.faults[OpAll]
	}
	v := verdict{
		outage:        f.Outage,
		latency:       time.Duration(f.LatencyMillis) * time.Millisecond,
		answerLatency: time.Duration(f.AnswerLatencyMillis) * time.Millisecond,
	}
	if draw := i.rng.Float64(); draw < f.LostAnswerRate {
		v.answerLost = true
	} else if draw < f.LostAnswerRate+f.LostCallRate {
		v.callLost = true
	}
	return v
}

// limiter is a token bucket that holds at most one second's worth of
// operations. A rate of 0 means no limit.
type limiter struct {
	perSecond float64
	mu        sync.Mutex
	// left and at are guarded by mu.
	left float64
	at   time.Time
}

func newLimiter(perSecond float64) *limiter {
	return &limiter{perSecond: perSecond, left: max(1, perSecond)}
}

// take reports whether one more operation is allowed, and otherwise when.
func (l *limiter) take(now time.Time) (ok bool, wait time.Duration) {
	if l.perSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.at.IsZero() {
		l.left = min(max(1, l.perSecond), l.left+now.Sub(l.at).Seconds()*l.perSecond)
	}
	l.at = now
	if l.left < 1 {
		return false, time.Duration((1 - l.left) / l.perSecond * float64(time.Second))
	}
	l.left--
	return true, 0
}
