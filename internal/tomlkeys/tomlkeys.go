// Package tomlkeys locates the keys of TOML documents, so that errors in decoded
// values can report a position. The decoder reports positions only for its own
// errors, so Locate parses the document a second time.
package tomlkeys

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Values of Location.Text for tables and arrays.
const (
	TextTable = "a table"
	TextArray = "an array"
)

// Location is where a document gives the value of a key.
type Location struct {
	// Line and Column are the position of the value; for an array, that of its key,
	// since the parser does not report where an array begins. Both start at 1.
	Line, Column int
	// Text is the value as written in the document, TextTable or TextArray.
	Text string
}

// Locations maps the keys of a document to the locations of their values. Elements
// of arrays have an index, as in "quiet_hours[1].start".
type Locations map[string]Location

// Enclosing returns the location of a key or, if the document lacks it, of the
// closest enclosing key. Without one, it returns the start of the document.
func (l Locations) Enclosing(key string) Location {
	for key != "" {
		if at, ok := l[key]; ok {
			return at
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return Location{Line: 1, Column: 1}
}

// Locate returns the locations of the keys of a document. Keys after a syntax error
// are not included.
func Locate(doc []byte) Locations {
	l := locator{found: Locations{}}
	l.parser.Reset(doc)
	tables := map[string]int{}
	prefix := ""
	for l.parser.NextExpression() {
		e := l.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			name, at := l.key("", e)
			prefix = name
			l.found[prefix] = at
		case unstable.ArrayTable:
			name, at := l.key("", e)
			prefix = element(name, tables[name])
			tables[name]++
			l.found[prefix] = at
		case unstable.KeyValue:
			l.keyValue(prefix, e)
		}
	}
	return l.found
}

type locator struct {
	parser unstable.Parser
	found  Locations
}

func (l *locator) keyValue(prefix string, e *unstable.Node) {
	name, at := l.key(prefix, e)
	l.value(name, at, e.Value())
}

// value records a value and the values nested in it. at is the location of its key
// or of the array that contains it.
func (l *locator) value(name string, at Location, v *unstable.Node) {
	if v.Raw.Length > 0 {
		at = l.location(v.Raw)
	}
	children := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		at.Text = TextTable
		for children.Next() {
			l.keyValue(name, children.Node())
		}
	case unstable.Array:
		at.Text = TextArray
		for i := 0; children.Next(); i++ {
			l.value(element(name, i), at, children.Node())
		}
	default:
		at.Text = string(l.parser.Raw(v.Raw))
	}
	l.found[name] = at
}

// key returns the dotted key of a node, including the prefix, and the position of
// its first part. Its text is that of a table.
func (l *locator) key(prefix string, e *unstable.Node) (string, Location) {
	var parts []string
	if prefix != "" {
		parts = append(parts, prefix)
	}
	var at Location
	for it := e.Key(); it.Next(); {
		if at.Line == 0 {
			at = l.location(it.Node().Raw)
		}
		parts = append(parts, string(it.Node().Data))
	}
	at.Text = TextTable
	return strings.Join(parts, "."), at
}

func (l *locator) location(raw unstable.Range) Location {
	start := l.parser.Shape(raw).Start
	return Location{Line: start.Line, Column: start.Column}
}

func element(array string, index int) string {
	return array + "[" + strconv.Itoa(index) + "]"
}
