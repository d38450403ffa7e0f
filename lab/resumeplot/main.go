// Command resumeplot plots the resume latency of each policy over its extra tokens,
// from the CSV table that internal/continuation/experiment writes.
//
//	go run ./internal/continuation/experiment -csv resume.csv
//	go run ./lab/resumeplot -in resume.csv -out resume.png
package main

import (
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Names of the columns of the table.
const (
	columnPolicy  = "policy"
	columnLatency = "p95 ms"
	columnExtra   = "extra tokens per interruption"
)

func main() {
	in := flag.String("in", "resume.csv", "table of policies")
	out := flag.String("out", "resume.png", "plot file to write; the suffix selects the format")
	flag.Parse()
	if err := run(*in, *out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(in, out string) error {
	f, err := os.Open(in)
	if err != nil {
		return fmt.Errorf("open the table of policies: %w", err)
	}
	defer f.Close()
	labels, err := read(f)
	if err != nil {
		return fmt.Errorf("read %s: %w", in, err)
	}
	return draw(labels, out)
}

// read returns one labelled point per policy: X is the number of extra tokens per
// interruption, Y the 95th percentile of the latency in milliseconds. Columns are
// found by name.
func read(r io.Reader) (plotter.XYLabels, error) {
	var labels plotter.XYLabels
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return labels, err
	}
	if len(rows) == 0 {
		return labels, fmt.Errorf("the table is empty")
	}
	policy, latency, extra := slices.Index(rows[0], columnPolicy), slices.Index(rows[0], columnLatency), slices.Index(rows[0], columnExtra)
	if min(policy, latency, extra) < 0 {
		return labels, fmt.Errorf("the table must have the columns %q, %q and %q, but has %q", columnPolicy, columnLatency, columnExtra, rows[0])
	}
	for i, row := range rows[1:] {
		x, errX := strconv.ParseFloat(row[extra], 64)
		y, errY := strconv.ParseFloat(row[latency], 64)
		if errX != nil || errY != nil {
			return labels, fmt.Errorf("row %d: %q and %q must be numbers", i+2, row[extra], row[latency])
		}
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: y})
		labels.Labels = append(labels.Labels, row[policy])
	}
	return labels, nil
}

func draw(points plotter.XYLabels, out string) error {
	p := plot.New()
	p.Title.Text = "Resume latency against extra tokens"
	p.X.Label.Text = columnExtra
	p.Y.Label.Text = columnLatency
	// A log scale, because the latencies of the baselines are many times those of
	// the weighted policies.
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	labels, err := plotter.NewLabels(points)
	if err != nil {
		return err
	}
	labels.Offset.X = vg.Points(4)
	p.Add(plotter.NewGrid(), scatter, labels)
	p.X.Max *= 1.15 // leaves space for the rightmost label
	return p.Save(10*vg.Inch, 6*vg.Inch, out)
}
