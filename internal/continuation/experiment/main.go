// Command experiment compares policies for resuming interrupted answers in a
// discrete-event simulation of 35 engines and about 330 concurrent answers, with
// faults at fixed rates. It runs the production state machine, detector, retry
// budget and choice of the server. Equal seeds give equal output. It fails if an
// answer has a missing or repeated token or one of another text, or does not end.
//
//	go run ./internal/continuation/experiment -seed 1 -runs 3
package main

import (
	"encoding/csv"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the first run")
	runs := flag.Int("runs", 3, "runs of each policy, with consecutive seeds")
	length := flag.Duration("length", 4*time.Minute, "simulated time during which requests arrive")
	only := flag.String("only", "", "run only policies whose name matches this regular expression")
	perFault := flag.Bool("faults", false, "also print a table of the results by kind of fault for each policy")
	csvFile := flag.String("csv", "", "also write the table of policies to this CSV file")
	flag.Parse()
	if err := run(os.Stdout, *seed, *runs, *length, *only, *perFault, *csvFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, seed uint64, runs int, length time.Duration, only string, perFault bool, csvFile string) error {
	names, err := regexp.Compile(only)
	if err != nil {
		return fmt.Errorf("invalid regular expression for policy names: %w", err)
	}
	selected := slices.DeleteFunc(policies(), func(p policy) bool { return !names.MatchString(p.name) })
	var titles []string
	var reports []*report
	results, err := simulateAll(selected, seed, runs, length)
	if err != nil {
		return err
	}
	for i, p := range selected {
		total := newReport()
		for _, r := range results[i*runs : (i+1)*runs] {
			total.merge(r)
		}
		titles, reports = append(titles, p.name), append(reports, total)
	}
	writeTable(out, titles, reports)
	if perFault {
		for i, r := range reports {
			fmt.Fprintf(out, "\n%s, %d answers of %d tokens in all:\n\n", titles[i], r.answers, r.generated)
			writeFaults(out, r)
			for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
				fmt.Fprintf(out, "\nfailed %d: %s\n", r.reasons[reason], reason)
			}
		}
	}
	if csvFile == "" {
		return nil
	}
	return writeCSV(csvFile, titles, reports)
}

// parallelRuns is the maximum number of concurrent runs. It leaves most of a
// shared machine to other users.
const parallelRuns = 4

// simulateAll returns the reports of all runs, ordered by policy and then by
// seed.
func simulateAll(policies []policy, seed uint64, runs int, length time.Duration) ([]*report, error) {
	reports := make([]*report, len(policies)*runs)
	errs := make([]error, len(reports))
	free := make(chan struct{}, parallelRuns)
	var group sync.WaitGroup
	for i := range reports {
		group.Go(func() {
			free <- struct{}{}
			reports[i], errs[i] = simulate(policies[i/runs], seed+uint64(i%runs), length)
			<-free
		})
	}
	group.Wait()
	return reports, errors.Join(errs...)
}

var header = []string{"policy", "p50 ms", "p95 ms", "max ms", "in 4 s %", "prompt tokens", "answer tokens",
	"discarded", "extra tokens per interruption", "false alarms", "their tokens", "probes", "failed", "new work p95 ms"}

func ms(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(quantile))/1000)
}

func row(name string, r *report) []string {
	k := r.all()
	n := max(k.interrupted, 1)
	return []string{name, ms(k.latency, 50), ms(k.latency, 95), ms(k.latency, 100),
		fmt.Sprintf("%.2f", 100*float64(k.inTime)/float64(n)),
		fmt.Sprint(k.cost.prompt), fmt.Sprint(k.cost.prefilled + k.cost.decoded), fmt.Sprint(k.cost.discarded),
		fmt.Sprintf("%.0f", float64(k.cost.total())/float64(n)),
		fmt.Sprint(k.falseAlarms), fmt.Sprint(k.falseCost), fmt.Sprint(r.probes), fmt.Sprint(r.failed), ms(r.newWork, 95)}
}

func writeRow(out io.Writer, cells []string) {
	fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
}

func writeHeader(out io.Writer, cells []string) {
	writeRow(out, cells)
	writeRow(out, strings.Split(strings.Repeat("---,", len(cells)-1)+"---", ","))
}

func writeTable(out io.Writer, names []string, reports []*report) {
	writeHeader(out, header)
	for i, r := range reports {
		writeRow(out, row(names[i], r))
	}
}

// writeFaults prints the results of one policy by kind of fault. Tokens are
// attributed to the most recent fault that affected the answer.
func writeFaults(out io.Writer, r *report) {
	writeHeader(out, []string{"fault", "faults", "interrupted", "p50 ms", "p95 ms", "max ms", "in 4 s",
		"prompt tokens", "answer tokens", "discarded", "false alarms", "their tokens"})
	for i := range r.kinds {
		k := &r.kinds[i]
		writeRow(out, []string{faultNames[i], fmt.Sprint(r.faults[i]), fmt.Sprint(k.interrupted),
			ms(k.latency, 50), ms(k.latency, 95), ms(k.latency, 100), fmt.Sprint(k.inTime),
			fmt.Sprint(k.cost.prompt), fmt.Sprint(k.cost.prefilled + k.cost.decoded), fmt.Sprint(k.cost.discarded),
			fmt.Sprint(k.falseAlarms), fmt.Sprint(k.falseCost)})
	}
}

func writeCSV(name string, names []string, reports []*report) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create CSV file: %w", err)
	}
	w := csv.NewWriter(f)
	rows := [][]string{header}
	for i, r := range reports {
		rows = append(rows, row(names[i], r))
	}
	if err := w.WriteAll(rows); err != nil {
		_ = f.Close() // the first error is reported
		return fmt.Errorf("write CSV file: %w", err)
	}
	return f.Close()
}
