package labcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
)

func callCommand(cfg caller.Config) *cobra.Command {
	var req caller.Request
	var call caller.Call
	var body string
	var chat bool
	timeout := 5 * time.Minute
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send one request, verify the answer and print the result as JSON",
		Long: `Send one generation, or with --service one call to a plain service. If the
connection breaks, the request is resumed through another node. The exit status
is 0 only if the answer is complete with no token missing, repeated or mixed, or
the service answered.`,
		Example: `  yuccahatch lab call --node 127.0.0.1:9001 --key demo --model airing-plan-1 --prompt "plan length=200"
  yuccahatch lab call --node 127.0.0.1:9001 --key demo --model airing-plan-1 --prompt "plan length=200" --chat
  yuccahatch lab call --node 127.0.0.1:8101 --direct --model airing-plan-1 --prompt "plan length=200"
  yuccahatch lab call --node 127.0.0.1:9001 --key demo --service booking --path /bookings --body '{"seat":4}' --idempotency-key k1`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			c := caller.New(cfg)
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			if call.Service != "" {
				call.RequestID, call.Body = req.RequestID, []byte(body)
				return callService(ctx, c, call, encoder)
			}
			if chat {
				req.Messages, req.Prompt = []callerapi.Message{{Role: "user", Content: req.Prompt}}, ""
			}
			return generate(ctx, c, req, encoder)
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&cfg.Nodes, "node", []string{"127.0.0.1:9001"}, "address of a node, IP:port; may be repeated")
	f.StringVar(&cfg.Key, "key", "", "bearer key")
	f.BoolVar(&cfg.Direct, "direct", false, "--node is an engine")
	f.DurationVar(&cfg.SilenceTimeout, "silence", cfg.SilenceTimeout, "a connection that delivers no data for this long counts as broken")
	f.IntVar(&cfg.MaxAttempts, "max-attempts", cfg.MaxAttempts, "maximum number of connections for the request")
	f.BoolVar(&cfg.RetryRefused, "retry-refused", false, "repeat a rejected request if the error response allows it")
	f.BoolVar(&cfg.SendText, "send-text", cfg.SendText, "send the received text when a node asks for it")
	f.DurationVar(&timeout, "timeout", timeout, "limit for the whole request")
	f.StringVar(&req.Model, "model", "", "model")
	f.StringVar(&req.Prompt, "prompt", "", "prompt, or the user's message with --chat")
	f.BoolVar(&chat, "chat", false, "use the chat interface")
	f.IntVar(&req.MaxTokens, "max-tokens", 0, "maximum number of tokens of the answer; 0: no limit")
	f.StringVar(&req.RequestID, "request-id", "", "request id; empty: a new one")
	f.StringVar(&call.Service, "service", "", "plain service to call instead of a generation")
	f.StringVar(&call.Method, "method", "POST", "method of the call")
	f.StringVar(&call.Path, "path", "/", "path of the call inside the service")
	f.StringVar(&body, "body", "", "body of the call")
	f.StringVar(&call.Key, "idempotency-key", "", "idempotency key of the call; empty: a new one")
	f.BoolVar(&call.NoKey, "no-idempotency-key", false, "send no idempotency key")
	return cmd
}

// callService sends a call to a plain service and prints its result. It returns an
// error if the service did not answer.
func callService(ctx context.Context, c *caller.Caller, call caller.Call, out *json.Encoder) error {
	result := c.Call(ctx, call)
	if result.Outcome != caller.OutcomeDone {
		return errors.Join(out.Encode(result), fmt.Errorf("service %q did not answer: outcome %q", call.Service, result.Outcome))
	}
	return out.Encode(result)
}

// generate sends a generation and prints its result. It returns an error if the
// answer is not complete and clean.
func generate(ctx context.Context, c *caller.Caller, req caller.Request, out *json.Encoder) error {
	result := c.Generate(ctx, req)
	if !result.Complete || !result.Clean {
		return errors.Join(out.Encode(result), errors.New("answer is incomplete or has missing, repeated or mixed tokens"))
	}
	return out.Encode(result)
}
