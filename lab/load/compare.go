package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// Compare writes a table of the figures of two JSON reports and their
// differences.
func Compare(w io.Writer, fileA, fileB string) error {
	a, err := figures(fileA)
	if err != nil {
		return err
	}
	b, err := figures(fileB)
	if err != nil {
		return err
	}
	names := maps.Clone(a)
	maps.Copy(names, b)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "figure\tA\tB\tB - A\tB - A in %%\t\n")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		x, inA := a[name]
		y, inB := b[name]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t\n", name, cell(x, inA), cell(y, inB),
			cell(y-x, inA && inB), percent(x, y, inA && inB))
	}
	return t.Flush()
}

func cell(v float64, known bool) string {
	if !known {
		return "-"
	}
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", v), "0"), ".")
}

func percent(x, y float64, known bool) string {
	if !known || x == 0 {
		return "-"
	}
	return fmt.Sprintf("%+.1f", 100*(y-x)/x)
}

// figures returns the numbers of a JSON report by path, without its time series.
func figures(file string) (map[string]float64, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	out := map[string]float64{}
	flatten(out, "", tree)
	return out, nil
}

// flatten adds the numbers in value to out, by their paths. List elements that
// have a name get it as a path element; all others are skipped.
func flatten(out map[string]float64, path string, value any) {
	switch v := value.(type) {
	case float64:
		out[path] = v
	case map[string]any:
		for key, child := range v {
			flatten(out, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		for _, child := range v {
			if m, ok := child.(map[string]any); ok && m["name"] != nil {
				flatten(out, fmt.Sprintf("%s.%v", path, m["name"]), m)
			}
		}
	}
}
