package load

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps key paths such as "faults[1].at" to line numbers. The decoder
// reports line numbers only in its own errors, so the file is parsed a second time
// for the errors of the validation.
type keyLines map[string]int

// lineOf returns the line of a key or, if the file does not contain it, of the
// closest enclosing key. It returns 1 if there is none.
func (l keyLines) lineOf(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}

// findKeyLines returns the lines of the keys of a file that the decoder has
// accepted.
func findKeyLines(text []byte) keyLines {
	found := keyLines{}
	var parser unstable.Parser
	parser.Reset(text)
	counts := map[string]int{}
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.ArrayTable:
			name, line := dottedKey(&parser, node)
			if before, last, ok := cutLast(name); ok && counts[before] > 0 {
				name = fmt.Sprintf("%s[%d].%s", before, counts[before]-1, last)
			}
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			found[table] = line
		case unstable.Table:
			name, line := dottedKey(&parser, node)
			table, found[name] = name, line
		case unstable.KeyValue:
			found.add(&parser, table, node)
		}
	}
	return found
}

// cutLast splits a dotted key before its last part.
func cutLast(name string) (before, last string, ok bool) {
	at := strings.LastIndexByte(name, '.')
	if at < 0 {
		return name, "", false
	}
	return name[:at], name[at+1:], true
}

func (l keyLines) add(parser *unstable.Parser, table string, node *unstable.Node) {
	name, line := dottedKey(parser, node)
	if table != "" {
		name = table + "." + name
	}
	l[name] = line
	if value := node.Value(); value.Kind == unstable.InlineTable {
		for children := value.Children(); children.Next(); {
			l.add(parser, name, children.Node())
		}
	}
}

// dottedKey returns the dotted key of a node and its line.
func dottedKey(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		if len(parts) == 0 {
			line = parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}
