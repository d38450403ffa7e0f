package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Operations for which faults can be set.
const (
	OpTxn       = "txn"
	OpRead      = "read"
	OpScan      = "scan"
	OpObjectPut = "object_put"
	OpObjectGet = "object_get"
	OpHosts     = "hosts"
	OpWeights   = "weights"
	OpAll       = "*" // every operation without its own entry
)

var operations = []string{OpTxn, OpRead, OpScan, OpObjectPut, OpObjectGet, OpHosts, OpWeights, OpAll}

// Fault is the set of faults that are injected into one operation.
type Fault struct {
	// Outage rejects the operation with status 503; it does not take effect.
	Outage bool `json:"outage"`
	// LatencyMillis is the delay in milliseconds before the operation takes
	// effect.
	LatencyMillis int `json:"latency_ms"`
	// AnswerLatencyMillis is the delay in milliseconds between the operation
	// taking effect and its response.
	AnswerLatencyMillis int `json:"answer_latency_ms"`
	// LostAnswerRate is the fraction of operations, 0 to 1, that take effect but
	// whose connection is closed without a response.
	LostAnswerRate float64 `json:"lost_answer_rate"`
	// LostCallRate is the fraction of operations, 0 to 1, that do not take effect
	// and whose connection is closed without a response.
	LostCallRate float64 `json:"lost_call_rate"`
}

// Faults maps operations to their faults. It is the body of RouteAdminFaults.
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

// faultInjector selects the faults of each operation. It is safe for concurrent
// use.
type faultInjector struct {
	mu sync.Mutex
	// faults and rng are guarded by mu.
	faults Faults
	rng    *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{faults: Faults{}, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// faultDecision is the set of faults selected for one call of an operation.
type faultDecision struct {
	outage                 bool
	latency, answerLatency time.Duration
	callLost, answerLost   bool
}

func (i *faultInjector) decide(op string) faultDecision {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.faults[op]
	if !ok {
		f = i.faults[OpAll]
	}
	v := faultDecision{
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

// limiter is a token bucket that holds the operations of one second, but at least
// one. A rate of 0 means no limit. It is safe for concurrent use.
type limiter struct {
	perSecond float64
	mu        sync.Mutex
	// tokens and refilledAt are guarded by mu.
	tokens     float64
	refilledAt time.Time
}

func newLimiter(perSecond float64) *limiter {
	return &limiter{perSecond: perSecond, tokens: max(1, perSecond)}
}

// take reports whether one more operation is allowed; if not, wait is the time
// until the next one is.
func (l *limiter) take(now time.Time) (ok bool, wait time.Duration) {
	if l.perSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refilledAt.IsZero() {
		l.tokens = min(max(1, l.perSecond), l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond)
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false, time.Duration((1 - l.tokens) / l.perSecond * float64(time.Second))
	}
	l.tokens--
	return true, 0
}
