package contract

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and a column of a document, both starting at 1.
type position struct{ line, column int }

// positions maps key paths such as "quiet_hours[1].start" to the position of the
// value. The decoder reports positions only for its own errors, so the document
// is parsed a second time to locate the errors of later checks.
type positions map[string]position

// lookup returns the position of a key or, if the document lacks it, of the
// closest enclosing key. Without one, it returns the start of the document.
func (p positions) lookup(key string) position {
	for key != "" {
		if at, ok := p[key]; ok {
			return at
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return position{line: 1, column: 1}
}

// findPositions returns the positions of the keys of a document. The decoder must
// have accepted the document.
func findPositions(text []byte) positions {
	found := positions{}
	var parser unstable.Parser
	parser.Reset(text)
	counts := map[string]int{}
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.ArrayTable:
			name, at := keyOf(&parser, node)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			found[table] = at
		case unstable.Table:
			name, at := keyOf(&parser, node)
			table = name
			found[table] = at
		case unstable.KeyValue:
			found.add(&parser, table, node)
		}
	}
	return found
}

// add records the position of a key and of each value nested in it.
func (p positions) add(parser *unstable.Parser, table string, node *unstable.Node) {
	name, at := keyOf(parser, node)
	if table != "" {
		name = table + "." + name
	}
	p.addValue(parser, name, at, node.Value())
}

func (p positions) addValue(parser *unstable.Parser, name string, at position, value *unstable.Node) {
	if value.Raw.Length > 0 {
		at = positionOf(parser, value.Raw)
	}
	p[name] = at
	children := value.Children()
	switch value.Kind {
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			p.addValue(parser, fmt.Sprintf("%s[%d]", name, i), at, children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			p.add(parser, name, children.Node())
		}
	}
}

// keyOf returns the dotted key of a node and the position of its first part.
func keyOf(parser *unstable.Parser, node *unstable.Node) (string, position) {
	var parts []string
	var at position
	for it := node.Key(); it.Next(); {
		if len(parts) == 0 {
			at = positionOf(parser, it.Node().Raw)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), at
}

func positionOf(parser *unstable.Parser, raw unstable.Range) position {
	start := parser.Shape(raw).Start
	return position{line: start.Line, column: start.Column}
}
