package detect

import (
	"testing"
	"time"
)

// Guards against silence limits outside their bounds and against limits that do
// not adapt to the observed gaps.
func TestSilenceLimitFollowsGaps(t *testing.T) {
	tests := []struct {
		name     string
		gap      time.Duration
		count    int
		min, max time.Duration
	}{
		{"no observations", 0, 0, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"short gaps give the minimum", 5 * time.Millisecond, 1000, 250 * time.Millisecond, 250 * time.Millisecond},
		{"17 tokens/s", 59 * time.Millisecond, 1000, 250 * time.Millisecond, 290 * time.Millisecond},
		{"slow engines", 200 * time.Millisecond, 1000, 800 * time.Millisecond, 960 * time.Millisecond},
		{"very slow engines give the maximum", 2 * time.Second, 1000, 1500 * time.Millisecond, 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(DefaultLimits)
			for range test.count {
				d.Observe(test.gap)
			}
			if got := d.SilenceLimit(); got < test.min || got > test.max {
				t.Errorf("SilenceLimit() = %v, want %v to %v", got, test.min, test.max)
			}
		})
	}
}

// Guards against a silence limit that stays high after the engines have become
// fast again.
func TestSilenceLimitRecoversFromSlowGaps(t *testing.T) {
	d := New(DefaultLimits)
	for range 2000 {
		d.Observe(2 * time.Second)
	}
	for range 40 * decayInterval {
		d.Observe(10 * time.Millisecond)
	}
	if got := d.SilenceLimit(); got != DefaultLimits.Minimum {
		t.Errorf("SilenceLimit() = %v, want %v", got, DefaultLimits.Minimum)
	}
}

func BenchmarkObserve(b *testing.B) {
	d := New(DefaultLimits)
	for b.Loop() {
		d.Observe(59 * time.Millisecond)
	}
}
