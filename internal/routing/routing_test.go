package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against matching a request to a route of another host, to a shorter
// prefix although a longer one matches, or to a prefix that ends within a path
// segment.
func TestMatch(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "root", Host: "A.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/yz", "short"},
		{"a.example", "/xy", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
	}
	for _, test := range tests {
		got := ""
		if r := table.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// Guards against a service that gets no requests, or more than its weight
// permits, and against selecting a service of weight 0.
func TestPick(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	for point, want := range map[float64]string{0: "a", 0.899: "a", 0.901: "b", 0.999: "b"} {
		if got := r.Pick(point); got != want {
			t.Errorf("point %v: %q, want %q", point, got, want)
		}
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Errorf("route without services: %q", got)
	}
}

// Guards against taking another configuration with a known number for the known one,
// after the store has lost the latter, and against going back to a lower number.
func TestHolderAfterRestore(t *testing.T) {
	var h Holder
	for _, step := range []struct {
		version, era int64
		installed    bool
	}{{7, 1, true}, {5, 2, false}, {7, 2, true}, {7, 2, false}, {7, 1, false}, {8, 2, true}, {8, 1, false}} {
		if got := h.InstallIfNewer(NewTable(Config{Version: step.version, Era: step.era})); got != step.installed {
			t.Errorf("version %d of era %d: installed %t", step.version, step.era, got)
		}
	}
}

// Guards against returning to an older configuration when the store and the peers
// deliver versions in any order.
func TestHolderVersionsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		newest := int64(0)
		for _, version := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
			if installed := h.InstallIfNewer(NewTable(Config{Version: version})); installed != (version > newest) {
				t.Fatalf("version %d after %d: installed %t", version, newest, installed)
			}
			newest = max(newest, version)
			if h.Version() != newest {
				t.Fatalf("current version %d, want %d", h.Version(), newest)
			}
		}
	})
}
