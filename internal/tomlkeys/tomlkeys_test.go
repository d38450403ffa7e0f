package tomlkeys

import (
	"maps"
	"testing"
)

// Guards against an error that names the line or text of another value.
func TestLocate(t *testing.T) {
	doc := `a.b = 1
[s]
c = [
  true, # a comment is no element
  "x",
]
[[t]]
d = { e = 'y' }
[[t]]
d = """z"""
`
	want := Locations{
		"a.b":    {1, 7, "1"},
		"s":      {2, 2, TextTable},
		"s.c":    {3, 1, TextArray},
		"s.c[0]": {4, 3, "true"},
		"s.c[1]": {5, 3, `"x"`},
		"t[0]":   {7, 3, TextTable},
		"t[0].d": {8, 5, TextTable}, "t[0].d.e": {8, 11, "'y'"},
		"t[1]":   {9, 3, TextTable},
		"t[1].d": {10, 5, `"""z"""`},
	}
	if got := Locate([]byte(doc)); !maps.Equal(got, want) {
		t.Errorf("got  %v\nwant %v", got, want)
	}
}

// Guards against a missing key that is reported far from the table that lacks it.
func TestEnclosing(t *testing.T) {
	locations := Locations{"t[1]": {9, 3, TextTable}}
	for key, line := range map[string]int{"t[1]": 9, "t[1].d[0].e": 9, "t[0].d": 1, "u": 1, "": 1} {
		if at := locations.Enclosing(key); at.Line != line {
			t.Errorf("Enclosing(%q) is on line %d, want %d", key, at.Line, line)
		}
	}
}
