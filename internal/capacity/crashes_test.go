package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/orders"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

func fingerprint(i int) quarantine.Fingerprint {
	return quarantine.FingerprintOf(teamID(1), fmt.Appendf(nil, "body %d", i))
}

// BenchmarkQuarantine measures the verdict and the placement check for one
// request, and building the evidence for one peer, after several servers have
// crashed while each was running 32 requests.
func BenchmarkQuarantine(b *testing.B) {
	for _, deaths := range []int{0, 4, 32, 256} {
		newTracker := func() *quarantine.Tracker {
			tracker := quarantine.New(hostID(1))
			for d := range deaths {
				server := ident.BackendID(fmt.Sprint("engine-", d))
				for r := range 32 {
					tracker.Started(ident.AttemptID(fmt.Sprint(d, "/", r)), fingerprint(d*32+r), server)
				}
				tracker.Died(baseTime.Add(time.Duration(d)*time.Minute), server, 1)
			}
			return tracker
		}
		now := baseTime.Add(time.Duration(deaths) * time.Minute)
		b.Run(fmt.Sprintf("request/deaths=%d", deaths), func(b *testing.B) {
			tracker := newTracker()
			for b.Loop() {
				tracker.Verdict(fingerprint(0))
				tracker.MayPlace(fingerprint(0), "engine-0")
			}
			b.ReportMetric(heapBytes(func() any { return newTracker() }), "heap-B")
		})
		b.Run(fmt.Sprintf("evidence/deaths=%d", deaths), func(b *testing.B) {
			tracker, size := newTracker(), 0
			for b.Loop() {
				e, _ := tracker.Evidence(now, 0)
				size = len(e.Deaths)
			}
			b.ReportMetric(float64(size), "reports")
		})
	}
}

// BenchmarkPlan measures one run of the planner. The benchmark runs it once per
// second of simulated time.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, engines int }{{1, 35}, {20, 1_000}, {20, 10_000}} {
		b.Run(fmt.Sprintf("models=%d/engines=%d", size.models, size.engines), func(b *testing.B) {
			var models []orders.Model
			var engines []orders.Engine
			for i := range size.models {
				m := orders.Model{Demand: float64(300 * size.engines / size.models), LoadTime: 30 * time.Second}
				m.Spec.Model = fmt.Sprint("model-", i)
				models = append(models, m)
			}
			for i := range size.engines {
				engines = append(engines, orders.Engine{ID: ident.BackendID(fmt.Sprint("engine-", i)), Model: fmt.Sprint("model-", i%size.models), TokensPerSecond: 544})
			}
			planner, now := orders.NewPlanner(orders.DefaultPolicy), time.Duration(0)
			for b.Loop() {
				now += time.Second
				planner.Plan(now, models, engines)
			}
		})
	}
}
