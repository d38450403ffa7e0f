package labcmd

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/lab/demo"
)

// operatorKeyVariable holds the key that the operators' commands use as well.
const operatorKeyVariable = "YUCCAHATCH_OPERATOR_KEY"

func demoCommand() *cobra.Command {
	cfg := demo.DefaultConfig()
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Send verified answers and bookings and print a report",
		Long: `Send long answers and bookings through all nodes, each booking twice with the
same key through different nodes, and some with the first connection dropped.
Nodes and engines may die meanwhile. The exit status is 0 only if all answers
are complete and right, no booking ran twice, and what callers were told about
bookings agrees with the service's own records.`,
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
				return errors.New("a promise was broken")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&cfg.Nodes, "node", nil, "callers' address of a node, IP:port; may be repeated")
	f.StringVar(&cfg.Key, "key", "", "bearer key")
	f.StringVar(&cfg.Model, "model", "", "model")
	f.StringVar(&cfg.Service, "service", cfg.Service, "name of the booking service")
	f.StringVar(&cfg.ServiceURL, "service-url", "", "URL of the booking service, for its records")
	f.StringArrayVar(&cfg.Metrics, "metrics", nil, "operators' address of a node whose metrics are read at the end; may be repeated")
	f.StringVar(&cfg.OperatorKey, "operator-key", os.Getenv(operatorKeyVariable), "operator's bearer key for the metrics; default from "+operatorKeyVariable)
	f.IntVar(&cfg.Answers, "answers", cfg.Answers, "number of answers")
	f.IntVar(&cfg.Bookings, "bookings", cfg.Bookings, "number of bookings")
	f.IntVar(&cfg.Length, "length", cfg.Length, "tokens of an answer")
	f.DurationVar(&cfg.Silence, "silence", cfg.Silence, "a stream without data for this long counts as broken")
	f.DurationVar(&cfg.Interruption, "interruption", cfg.Interruption, "a gap between tokens above this counts as an interruption")
	return cmd
}
