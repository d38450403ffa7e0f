package settings

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// location is the line of a key in a document and the value as written there.
type location struct {
	line int
	raw  string
}

// locate returns the location of each key of a document. Elements of arrays have an
// index, as in "data_centres[0].name". Keys after a syntax error are not included.
func locate(doc []byte) map[string]location {
	l := locator{found: map[string]location{}, tables: map[string]int{}}
	l.parser.Reset(doc)
	prefix := ""
	for l.parser.NextExpression() {
		e := l.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix, _ = l.key("", e.Key())
		case unstable.ArrayTable:
			name, line := l.key("", e.Key())
			prefix = name + "[" + strconv.Itoa(l.tables[name]) + "]"
			l.tables[name]++
			l.found[prefix] = location{line: line, raw: "a table"}
		case unstable.KeyValue:
			l.keyValue(prefix, e)
		}
	}
	return l.found
}

type locator struct {
	parser unstable.Parser
	found  map[string]location
	tables map[string]int
}

func (l *locator) keyValue(prefix string, e *unstable.Node) {
	name, line := l.key(prefix, e.Key())
	l.value(name, line, e.Value())
}

func (l *locator) value(name string, line int, v *unstable.Node) {
	raw := string(l.parser.Raw(v.Raw))
	if raw == "" { // the parser gives no range for some kinds
		raw = string(v.Data)
	}
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			l.keyValue(name, it.Node())
		}
		raw = "a table"
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				l.value(name+"["+strconv.Itoa(i)+"]", line, it.Node())
				i++
			}
		}
		raw = "an array"
	}
	l.found[name] = location{line: line, raw: raw}
}

// key returns the dotted key, including the prefix, and the line of its last part.
func (l *locator) key(prefix string, parts unstable.Iterator) (string, int) {
	name, line := prefix, 0
	for parts.Next() {
		if name != "" {
			name += "."
		}
		name += string(parts.Node().Data)
		line = l.parser.Shape(parts.Node().Raw).Start.Line
	}
	return name, line
}

// valueOnLine returns the location of a key on a line, given the key without array
// indexes.
func valueOnLine(found map[string]location, key string, line int) (location, bool) {
	for name, at := range found {
		if at.line == line && withoutIndexes(name) == key && at.raw != "an array" {
			return at, true
		}
	}
	return location{}, false
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
