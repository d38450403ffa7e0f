package labcmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/lab/demo"
)

// operatorKeyEnv is the environment variable with the operator's bearer key, which
// the operators' commands also read.
const operatorKeyEnv = "YUCCAHATCH_OPERATOR_KEY"

func demoCommand() *cobra.Command {
	cfg := demo.DefaultConfig()
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Send verified answers and bookings and print a report",
		Long: `Send long answers and bookings through all nodes, each booking twice with the
same key through different nodes, and some with the first connection dropped.
Nodes and engines may fail in the meantime. The exit status is 0 only if all
answers are complete and correct, no booking ran twice, and the results that
callers received for bookings agree with the service's own records.`,
		Example: `  yuccahatch lab demo --node 127.0.1.1:7401 --node 127.0.1.2:7401 --key demo-caller \
    --model airing-plan-1 --service-url http://127.0.4.1:7700 --metrics 127.0.1.2:7402`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := demo.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if err := report.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			if !report.OK() {
				return fmt.Errorf("%d guarantee violations, see the report", len(report.Problems))
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&cfg.Nodes, "node", nil, "caller address of a node, IP:port; may be repeated")
	f.StringVar(&cfg.Key, "key", "", "bearer key")
	f.StringVar(&cfg.Model, "model", "", "model")
	f.StringVar(&cfg.Service, "service", cfg.Service, "name of the booking service")
	f.StringVar(&cfg.ServiceURL, "service-url", "", "URL of the booking service, for its records")
	f.StringArrayVar(&cfg.MetricsAddresses, "metrics", nil, "operator address of a node whose metrics are read at the end; may be repeated")
	f.StringVar(&cfg.OperatorKey, "operator-key", os.Getenv(operatorKeyEnv), "operator's bearer key for the metrics; default from "+operatorKeyEnv)
	f.IntVar(&cfg.Answers, "answers", cfg.Answers, "number of answers")
	f.IntVar(&cfg.Bookings, "bookings", cfg.Bookings, "number of bookings")
	f.IntVar(&cfg.Length, "length", cfg.Length, "number of tokens of an answer")
	f.DurationVar(&cfg.SilenceTimeout, "silence", cfg.SilenceTimeout, "a stream that delivers no data for this long counts as broken")
	f.DurationVar(&cfg.InterruptionThreshold, "interruption", cfg.InterruptionThreshold, "a gap between tokens that is longer than this counts as an interruption")
	return cmd
}
