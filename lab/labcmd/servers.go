package labcmd

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/engine"
	"github.com/yuccahatch/yuccahatch/lab/platform"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// crashExitStatus is the exit status of an engine that was crashed by a request.
const crashExitStatus = 2

// incarnation returns a number that differs for each start of a process.
func incarnation() int64 { return time.Now().UnixNano() }

func engineCommand() *cobra.Command {
	cfg := engine.DefaultConfig()
	var listen string
	var models []string
	tokenRate := 17.0
	ignoreFencing := false
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a simulated model engine",
		Long: `Run a simulated model engine that implements docs/backend-protocol.md. Its text
lets a caller detect missing, repeated and mixed tokens; "length=N" in a prompt
sets the number of tokens of the answer.`,
		Example: `  yuccahatch lab engine --listen 127.0.0.1:8101 --model airing-plan-1
  yuccahatch lab engine --listen 127.0.0.1:8102 --model base@2+law+tax --max-running 64 --token-rate 40
  yuccahatch lab engine --listen 127.0.0.1:8103 --model m --crash-on poison --load-lag 2s --cache-event-delay 3s --cache-event-loss 0.1`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if tokenRate <= 0 {
				return fmt.Errorf("--token-rate must be positive, is %g", tokenRate)
			}
			var err error
			if cfg.Models, err = parseModels(models); err != nil {
				return err
			}
			cfg.Incarnation = incarnation()
			if cfg.Salt == 0 {
				cfg.Salt = uint64(cfg.Incarnation)
			}
			cfg.TokenInterval = time.Duration(float64(time.Second) / tokenRate)
			cfg.CheckFencing = !ignoreFencing
			cfg.Crash = func() { os.Exit(crashExitStatus) }
			e, err := engine.New(cfg)
			if err != nil {
				return err
			}
			return serve(serverConfig{
				name: "engine", listen: listen, handler: e.Handler(), run: e.Run, leave: e.Leave, drained: e.Drained(),
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8101", "address to listen on, IP:port")
	f.StringArrayVar(&models, "model", nil, "model to serve, NAME[@VERSION][+ADAPTER...]; may be repeated")
	f.StringVar(&cfg.Role, "role", "", "role until an order sets one")
	f.Uint64Var(&cfg.Salt, "salt", 0, "number that selects the words of the text; 0: a new one for each run")
	f.IntVar(&cfg.MaxRunning, "max-running", cfg.MaxRunning, "largest batch")
	f.IntVar(&cfg.MaxWaiting, "max-waiting", cfg.MaxWaiting, "longest queue")
	f.Float64Var(&cfg.PrefillTokensPerSecond, "prefill-rate", cfg.PrefillTokensPerSecond, "uncached prompt tokens prefilled per second")
	f.Float64Var(&tokenRate, "token-rate", tokenRate, "tokens per second of one stream")
	f.IntVar(&cfg.CacheBlocks, "cache-blocks", cfg.CacheBlocks, fmt.Sprintf("size of the prefix cache in blocks of %d tokens", backendapi.CacheBlockTokens))
	f.DurationVar(&cfg.CacheEventDelay, "cache-event-delay", 0, "delay of cache events")
	f.Float64Var(&cfg.CacheEventLossRate, "cache-event-loss", 0, "fraction of cache events that are lost, 0 to 1")
	f.DurationVar(&cfg.Retention, "retention", cfg.Retention, "how long a stream without a reader is kept")
	f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
	f.DurationVar(&cfg.LoadTime, "load-time", cfg.LoadTime, "time to load one model")
	f.BoolVar(&ignoreFencing, "ignore-fencing", false, "accept orders with an old fencing token")
	f.StringVar(&cfg.CrashOn, "crash-on", "", fmt.Sprintf("exit with status %d when a request whose prompt contains this text starts to run", crashExitStatus))
	return cmd
}

// parseModels parses NAME[@VERSION][+ADAPTER...]; the default version is 1.
func parseModels(texts []string) ([]backendapi.LoadedModel, error) {
	var models []backendapi.LoadedModel
	for _, text := range texts {
		parts := strings.Split(text, "+")
		name, version, ok := strings.Cut(parts[0], "@")
		if !ok {
			version = "1"
		}
		if name == "" || version == "" {
			return nil, fmt.Errorf("--model %q is not NAME[@VERSION][+ADAPTER...]", text)
		}
		models = append(models, backendapi.LoadedModel{Model: name, Version: version, Adapters: parts[1:]})
	}
	return models, nil
}

func platformCommand() *cobra.Command {
	var cfg platform.Config
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a simulated platform: table, objects, host list and weight store",
		Long: `Run a simulated platform that implements docs/platform-protocol.md. Its data is
in memory and is lost when the process ends. PUT /admin/faults injects outages,
latency and lost answers; POST /admin/hosts sets the state of a host or backend
server.`,
		Example: `  yuccahatch lab platform --listen 127.0.0.1:7000 --hosts hosts.toml --host-lag 3s
  yuccahatch lab platform --listen 127.0.0.1:7000 --writes 400 --reads 2000 --weights-rate 0.5
  curl -X PUT 127.0.0.1:7000/admin/faults -d '{"txn":{"lost_answer_rate":0.2},"*":{"latency_ms":50}}'
  curl -X POST 127.0.0.1:7000/admin/hosts -d '{"host_id":"h1","state":"leaving"}'`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, err := platform.New(cfg)
			if err != nil {
				return err
			}
			return serve(serverConfig{name: "platform", listen: listen, handler: p.Handler(), run: p.Run})
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on, IP:port")
	f.StringVar(&cfg.HostListFile, "hosts", "", "host list, TOML or JSON (.json); re-read when it changes")
	f.DurationVar(&cfg.HostListLag, "host-lag", 0, "time until a change of the host list becomes visible")
	f.Float64Var(&cfg.WritesPerSecond, "writes", 0, "limit of transactions per second; 0: none")
	f.Float64Var(&cfg.ReadsPerSecond, "reads", 0, "limit of reads and scans per second; 0: none")
	f.Float64Var(&cfg.WeightsPerSecond, "weights-rate", 0, "limit of weight fetches per second; 0: none")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the random faults")
	return cmd
}

func serviceCommand() *cobra.Command {
	var cfg service.Config
	var listen string
	var latency time.Duration
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a simulated plain service that accepts bookings",
		Long: `Run a simulated plain service. POST /bookings runs once for each call; GET
/admin/runs reports the runs of each idempotency key.`,
		Example: `  yuccahatch lab service --listen 127.0.0.1:8201 --latency 50ms
  yuccahatch lab service --listen 127.0.0.1:8201 --lost-answer-rate 0.1
  curl 127.0.0.1:8201/admin/runs`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg.Incarnation = incarnation()
			cfg.Faults.LatencyMillis = int(latency.Milliseconds())
			s, err := service.New(cfg)
			if err != nil {
				return err
			}
			return serve(serverConfig{
				name: "service", listen: listen, handler: s.Handler(), leave: s.Leave, drained: s.Drained(),
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8201", "address to listen on, IP:port")
	f.DurationVar(&latency, "latency", 0, "time between a run and its answer")
	f.Float64Var(&cfg.Faults.LostAnswerRate, "lost-answer-rate", 0, "fraction of bookings that run but get no answer, 0 to 1")
	f.Float64Var(&cfg.Faults.LostCallRate, "lost-call-rate", 0, "fraction of bookings that do not run and get no answer, 0 to 1")
	f.IntVar(&cfg.MaxRunning, "max-running", 0, "maximum number of concurrent calls; 0: no limit")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the random faults")
	return cmd
}
