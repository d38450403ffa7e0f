package labcmd

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

func getCommand() *cobra.Command {
	timeout := 2 * time.Second
	cmd := &cobra.Command{
		Use:          "get URL",
		Short:        "Print the body of an HTTP response",
		Long:         `Send a GET request and print the body. The exit status is 0 only if the status is 200.`,
		Example:      `  yuccahatch lab get http://127.0.0.1:8201/admin/runs`,
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			client := &http.Client{Timeout: timeout}
			defer client.CloseIdleConnections()
			resp, err := client.Get(args[0])
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if _, err := io.Copy(cmd.OutOrStdout(), resp.Body); err != nil {
				return fmt.Errorf("body of %s: %w", args[0], err)
			}
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: status %d", args[0], resp.StatusCode)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", timeout, "limit for the whole request")
	return cmd
}
