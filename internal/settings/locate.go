package settings

import (
	"strings"

	"github.com/yuccahatch/yuccahatch/internal/tomlkeys"
)

// valueOnLine returns the location of a key on a line, given the key without array
// indexes.
func valueOnLine(found tomlkeys.Locations, key string, line int) (tomlkeys.Location, bool) {
	for name, at := range found {
		if at.Line == line && withoutIndexes(name) == key && at.Text != tomlkeys.TextArray {
			return at, true
		}
	}
	return tomlkeys.Location{}, false
}

// withoutIndexes removes the array indexes from a key: "data_centres[0].name"
// becomes "data_centres.name".
func withoutIndexes(name string) string {
	var b strings.Builder
	depth := 0
	for _, c := range name {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case depth == 0:
			b.WriteRune(c)
		}
	}
	return b.String()
}
