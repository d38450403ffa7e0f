// Command rig plays the cases of review/ that are no days: it starts the nodes of a small
// deployment as processes, with stand-ins of the platform, the servers and the clients, and
// judges a rule by what these have seen.
//
// It ends with status 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by the name of the flag -case. Each one returns the violations that it
// has found.
var cases = map[string]func(context.Context, *world) ([]string, error){
	"retry-after":   retryAfter,
	"drain-wait":    drainWait,
	"rejoin":        rejoin,
	"upload":        upload,
	"deadly-again":  deadlyAgain,
	"upload-stream": uploadStream,
}

func main() {
	name := flag.String("case", "", "name of the case")
	data := flag.String("data", "review/rig", "folder with the names, the settings and the configuration")
	binary := flag.String("node", "target/yuccahatchd", "program of a node")
	record := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, *name, options{data: *data, binary: *binary, record: *record, trouble: *trouble})
	stop()
	os.Exit(status)
}

func run(ctx context.Context, name string, o options) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	w, err := newWorld(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	violations, err := play(ctx, w)
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = w.endedEarly()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, v := range violations {
		w.log.add("BROKEN %s", v)
		fmt.Println(v)
	}
	if len(violations) > 0 {
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
