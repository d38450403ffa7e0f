package gateway

import "testing"

// Guards against counting crashes against sound requests whose servers are only silent,
// and against missing those of servers that have ended.
func TestLossThatMayBeCrash(t *testing.T) {
	cases := map[string]struct {
		loss    runLoss
		refused bool
		want    bool
	}{
		"reset before the first event":                  {runLoss{}, true, true},
		"reset right after the first event":             {runLoss{begun: true}, true, true},
		"reset of a stream that has run for a while":    {runLoss{begun: true, sound: true}, true, false},
		"silent before the first event":                 {runLoss{silent: true}, false, true},
		"silent right after the first event":            {runLoss{silent: true, begun: true}, false, false},
		"gone right after the first event":              {runLoss{silent: true, begun: true}, true, true},
		"another request found the server silent":       {runLoss{silent: true, reported: true}, false, false},
		"another request found that the server is gone": {runLoss{silent: true, reported: true}, true, true},
	}
	for name, c := range cases {
		if got := c.loss.mayBeCrash(func() bool { return c.refused }); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}
