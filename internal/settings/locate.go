package settings

import (
	"strings"

	"github.com/yuccahatch/yuccahatch/internal/tomlkeys"
)

// valueAt returns the value that starts at a position. Arrays have no position of
// their own and are not found.
func valueAt(found tomlkeys.Locations, line, column int) (tomlkeys.Location, bool) {
	for _, at := range found {
		if at.Line == line && at.Column == column && at.Text != tomlkeys.TextArray {
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
