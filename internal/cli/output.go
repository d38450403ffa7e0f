package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// print writes value as indented JSON or, in the table format, calls table.
func (a *app) print(w io.Writer, value any, table func(io.Writer)) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table(w)
	return nil
}

// printTable writes the rows as aligned columns. Cells that contain control
// characters are quoted, so that text from a request cannot send control
// sequences to the terminal.
func printTable(w io.Writer, header []string, rows [][]string) {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		cells := make([]string, len(row))
		for i, cell := range row {
			if strings.ContainsFunc(cell, func(r rune) bool { return r < ' ' || r == 0x7f }) {
				cell = fmt.Sprintf("%q", cell)
			}
			cells[i] = cell
		}
		fmt.Fprintln(tab, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	tab.Flush()
}
