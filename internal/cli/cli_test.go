package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/contractlog"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/operator"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// deployment simulates one node, h1, on an in-memory table. It also reports a
// second node, h2, whose sequence lags h1's by one status call.
type deployment struct {
	table *tabletest.Table
	log   *contractlog.Log
	set   *contractset.Set
	// laggingSequence is the sequence that the next status call reports for h2.
	laggingSequence ident.LogSequence
	// lostResponses is the number of further PUTs that take effect but whose
	// response is lost.
	lostResponses int
	// clockReads is the number of clock reads so far. Each read is a second later
	// than the one before, since records with the same time have a random order.
	clockReads int
	handler    http.Handler
}

var baseTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newDeployment() *deployment {
	d := &deployment{table: tabletest.New(), set: contractset.New()}
	d.log = contractlog.New(d.table, d, "h1", func() time.Time {
		d.clockReads++
		return baseTime.Add(time.Duration(d.clockReads) * time.Second)
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.handler = operator.NewHandler(operator.Config{Keys: []operator.Key{{Name: "ana", Hash: sha256.Sum256([]byte("secret"))}}, Backend: d, Log: log})
	return d
}

func (d *deployment) Record(record operatorapi.AuditRecord) bool {
	write, err := audit.WriteOf(record)
	if err == nil {
		_, err = d.table.Txn(context.Background(), platformapi.TxnRequest{Writes: []platformapi.Write{write}})
	}
	return err == nil
}

// RoundTrip implements http.RoundTripper. It serves h1 and h2 and refuses
// connections to other hosts.
func (d *deployment) RoundTrip(r *http.Request) (*http.Response, error) {
	if host := r.URL.Host; host != "h1:1" && host != "h2:1" {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	if r.Method == http.MethodPut && d.lostResponses > 0 {
		d.lostResponses--
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

func (d *deployment) PutContract(ctx context.Context, change operator.Change) (operatorapi.PutResult, error) {
	entry, err := d.log.Put(ctx, change.Document, change.Base, change.ChangeID, change.Actor)
	if err != nil {
		return operatorapi.PutResult{}, err
	}
	d.laggingSequence = d.set.Sequence()
	d.set.Apply(entry)
	return operatorapi.PutResult{Contract: operator.ContractOf(entry), InForce: []string{"h1"}, Pending: []string{"h2"}}, nil
}

func (d *deployment) Contract(_ context.Context, team ident.Team) (operatorapi.Contract, error) {
	in, ok := d.set.Contract(team)
	if !ok {
		return operatorapi.Contract{}, operator.NewError(operator.CodeNotFound, "no contract of %q", team)
	}
	return operator.ContractOf(in.Entry), nil
}

func (d *deployment) Contracts(context.Context) (operatorapi.ContractList, error) {
	list := operatorapi.ContractList{Sequence: int64(d.set.Sequence())}
	for _, in := range d.set.All() {
		list.Contracts = append(list.Contracts, operator.ContractOf(in.Entry))
	}
	return list, nil
}

func (d *deployment) History(ctx context.Context, team ident.Team) (operatorapi.ContractList, error) {
	entries, err := d.log.History(ctx, team, 100)
	list := operatorapi.ContractList{}
	for _, entry := range entries {
		list.Contracts = append(list.Contracts, operator.ContractOf(entry))
	}
	return list, err
}

func (d *deployment) Status(context.Context) (operatorapi.Status, error) {
	status := operatorapi.Status{
		HostID: "h1", DataCentre: "dc-1", Sequence: int64(d.set.Sequence()), Reason: "node_isolated",
		Nodes: []operatorapi.NodeStatus{
			{HostID: "h1", Address: "127.0.0.1:1", DataCentre: "dc-1", State: "alive", Sequence: int64(d.set.Sequence())},
			{HostID: "h2", Address: "127.0.0.2:1", DataCentre: "dc-2", State: "alive", Sequence: int64(d.laggingSequence)},
			{HostID: "h3", Address: "127.0.0.3:1", DataCentre: "dc-2", State: "dead"},
		},
		Backends: []operatorapi.BackendStatus{{BackendID: "e1", Kind: "engine", DataCentre: "dc-1", State: "live", Models: []string{"m"}, Running: 2}},
	}
	d.laggingSequence = d.set.Sequence()
	return status, nil
}

func (d *deployment) Audit(ctx context.Context, team ident.Team, after time.Time) (operatorapi.AuditPage, error) {
	return audit.Page(ctx, d.table, string(team), after, 0)
}

func (d *deployment) Explain(_ context.Context, request ident.RequestID) (operatorapi.Explanation, error) {
	return operatorapi.Explanation{RequestID: string(request), Decisions: []operatorapi.Decision{{At: baseTime, HostID: "h1", Event: "placed", Detail: "e1\x1b[2J"}}}, nil
}

func (d *deployment) Trace(_ context.Context, request ident.RequestID) ([]byte, error) {
	if request != "r1" {
		return nil, operator.NewError(operator.CodeNotFound, "nothing is known about request %q", request)
	}
	return os.ReadFile(filepath.Join(packageDir, "testdata", "trace.jsonl"))
}

// run executes one command line and returns its exit status and its standard
// output and standard error combined. Unless the line contains --node, the command
// is configured with two nodes, the first of which does not respond.
func (d *deployment) run(ctx context.Context, line string, extra ...*cobra.Command) (int, string) {
	ids := 0
	a := &app{
		transport: d,
		newID:     func() string { ids++; return fmt.Sprintf("change-%d", ids) },
		getenv: func(name string) string {
			return map[string]string{envKey: "secret\n", envNodes: "dead:1,h1:1"}[name]
		},
	}
	var out bytes.Buffer
	status := Run(ctx, newRoot(a, extra...), strings.Fields(line), &out, &out)
	return status, out.String()
}

// TestSession guards against unintended changes of what operators see: it
// compares the output and exit status of a series of command lines with a golden
// file. Every command that calls a node first calls one that does not respond.
func TestSession(t *testing.T) {
	dir := t.TempDir()
	recorded, err := os.ReadFile(filepath.Join(packageDir, "testdata", "trace.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"good.jsonl":     string(recorded),
		"repeated.jsonl": strings.Replace(string(recorded), `"from":1,"to":2`, `"from":0,"to":2`, 1),
		"good.toml":      "customer = \"arejo\"\nshare_percent = 25\n",
		"next.toml":      "customer = \"arejo\"\nshare_percent = 30\n",
		"bad.toml":       "customer = \"arejo\"\nshare_percent = 130\n",
		"blank.toml":     "",
		"key":            "wrong",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	lines := []string{
		"", "contract --help", "contract put --help", "contract validate good.toml bad.toml", "contract validate --output json good.toml",
		"contract put good.toml --base 0 --change-id c1", "contract put good.toml --base 0 --change-id c1", "contract put good.toml --base 0",
		"contract put next.toml --base 1 --change-id c2 --wait", "contract put next.toml --change-id c1", "contract put bad.toml", "contract put blank.toml",
		"contract get arejo", "contract get nobody", "contract list", "contract history arejo", "contract list --output json",
		"status", "explain r1", "audit --customer arejo", "trace get r1", "trace get r2",
		"trace replay good.jsonl", "trace replay good.jsonl --output json", "trace replay repeated.jsonl", "trace replay good.toml", "trace replay missing.jsonl",
		"contract nothing", "status --output xml", "contract put", "contract put good.toml --base -2", "audit --after noon", "contract put missing.toml", "status --nothing",
		"status --node dead:1", "status --key-file key", "status --key-file missing",
	}
	var session strings.Builder
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment()
		for _, line := range lines {
			status, out := d.run(t.Context(), line)
			fmt.Fprintf(&session, "$ yuccahatch %s\n%s[exit status %d]\n\n", line, out, status)
		}
	})
	goldie.New(t, goldie.WithFixtureDir(filepath.Join(packageDir, "testdata"))).Assert(t, "session", []byte(session.String()))
}

// packageDir is the directory of the package, read before a test changes the
// working directory.
var packageDir, _ = os.Getwd()

// Guards against a change that becomes two versions: if the response to it is
// lost, the client retries it on the next node with the same change id.
func TestPutRetriesOnNextNode(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.toml")
	if err := os.WriteFile(file, []byte("customer = \"a\"\nshare_percent = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d := newDeployment()
	d.lostResponses = 1
	if status, out := d.run(t.Context(), "--node h1:1 --node h2:1 contract put "+file); status != ExitOK || !strings.Contains(out, "version 1 ") {
		t.Errorf("exit status %d: %s", status, out)
	}
	d.lostResponses = 2
	status, out := d.run(t.Context(), "--node h1:1 --node h2:1 contract put "+file)
	if status != ExitUnreachable || !strings.Contains(out, "--change-id change-1") {
		t.Errorf("exit status %d: %s", status, out)
	}
}

// Guards against a wait that does not end at its limit or does not name the nodes
// that it waits for.
func TestWaitTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment()
		cmd := &cobra.Command{}
		cmd.SetErr(io.Discard)
		cmd.SetContext(t.Context())
		c := &client{nodes: []string{"h1:1"}, key: "secret", http: &http.Client{Transport: d}}
		result := operatorapi.PutResult{Contract: operatorapi.Contract{Version: 1, Sequence: 9}}
		_, err := (&app{}).waitForChange(cmd, c, result, time.Minute)
		if err == nil || codeOf(err) != CodeFailed || !strings.Contains(err.Error(), "waiting for: h1, h2") {
			t.Errorf("error = %v", err)
		}
	})
}

// Guards against a watch that prints contracts that existed before it started or
// misses a change.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment()
		put := func(share int) {
			text := fmt.Appendf(nil, "customer = \"a\"\nshare_percent = %d\n", share)
			if _, err := d.PutContract(t.Context(), operator.Change{Document: text, Base: contractlog.BaseNewest, Actor: "ana"}); err != nil {
				t.Error(err)
			}
		}
		put(1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(1500 * time.Millisecond)
			put(2)
			time.Sleep(2 * time.Second)
			cancel()
		}()
		status, out := d.run(ctx, "contract watch")
		if status != ExitOK || !strings.HasSuffix(out, "Z  a version 2 by ana (position 2)\n") || strings.Count(out, "\n") != 1 {
			t.Errorf("exit status %d: %q", status, out)
		}
	})
}

// Guards against reporting errors of the extra commands passed to New as wrong
// usage.
func TestExtraCommand(t *testing.T) {
	lab := &cobra.Command{Use: "lab", RunE: func(*cobra.Command, []string) error { return errors.New("port in use") }}
	if status, out := newDeployment().run(t.Context(), "lab", lab); status != ExitFailed || out != "yuccahatch: port in use\n" {
		t.Errorf("exit status %d: %q", status, out)
	}
}
