package scrape

import (
	"strings"
	"testing"
)

// Guards against sums that are silently 0 because a page contains labels,
// timestamps or escape sequences.
func TestParseAndSum(t *testing.T) {
	page, err := Parse(strings.NewReader(`# HELP a_total text
# TYPE a_total counter
a_total{part="prompt",x="a\"},b"} 3
a_total{part="answer",x="c"} 4 1700000000
a_total_more 100
b 1e+2
h_bucket{le="+Inf"} 7
`))
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		labels []string
		want   float64
	}{
		{"a_total", nil, 7},
		{"a_total", []string{"part", "prompt"}, 3},
		{"a_total", []string{"part", "prompt", "x", `a"},b`}, 3},
		{"a_total", []string{"part", "other"}, 0},
		{"b", nil, 100},
		{"h_bucket", []string{"le", "+Inf"}, 7},
	} {
		if got := page.Sum(tc.name, tc.labels...); got != tc.want {
			t.Errorf("%s %v: got %g, want %g", tc.name, tc.labels, got, tc.want)
		}
	}
	for _, bad := range []string{"a", "a{", `a{x} 1`, `a{x="1"}`, "a one"} {
		if _, err := Parse(strings.NewReader(bad)); err == nil {
			t.Errorf("%q accepted", bad)
		}
	}
}
