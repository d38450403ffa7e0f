package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/lab/labtest"
	"github.com/yuccahatch/yuccahatch/lab/pipenet"
)

var t0 = time.Unix(1_800_000_000, 0)

// testClient sends requests to one platform. It must be created inside a synctest
// bubble.
type testClient struct {
	t      *testing.T
	client *http.Client
}

func start(t *testing.T, cfg Config) *testClient {
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	network := pipenet.New()
	stop := network.Serve("platform:1", p.Handler())
	client := network.Client()
	t.Cleanup(func() { client.CloseIdleConnections(); stop(); synctest.Wait() })
	return &testClient{t: t, client: client}
}

// call sends a request and returns the status, or 0 if no response arrived. Unless
// into is nil, it decodes the response body into the value that into points to.
func (c *testClient) call(method, path string, body, into any) int {
	data, _ := json.Marshal(body)
	req, _ := http.NewRequest(method, "http://platform:1"+path, bytes.NewReader(data))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if into != nil {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			c.t.Errorf("%s %s: %v", method, path, err)
		}
	}
	return resp.StatusCode
}

func insert(key, value string) platformapi.TxnRequest {
	return platformapi.TxnRequest{
		Conditions: []platformapi.Condition{{Key: key}},
		Writes:     []platformapi.Write{{Key: key, Value: json.RawMessage(value)}},
	}
}

// Guards against transactions that are applied in part, conditions that are
// ignored, and versions that decrease, including after a delete.
func TestTransactions(t *testing.T) {
	labtest.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		newest := map[string]int64{}
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			txn := platformapi.TxnRequest{}
			for _, k := range rapid.SliceOfNDistinct(key, 0, 3, rapid.ID).Draw(t, "writes") {
				w := platformapi.Write{Key: k, Value: json.RawMessage(`1`)}
				if rapid.Bool().Draw(t, "delete") {
					w = platformapi.Write{Key: k, Delete: true}
				}
				txn.Writes = append(txn.Writes, w)
			}
			c := platformapi.Condition{Key: key.Draw(t, "condition"), Version: rapid.Int64Range(0, 4).Draw(t, "version")}
			txn.Conditions = []platformapi.Condition{c}
			before := table.read([]string{"a", "b", "c"})
			holds := table.row(c.Key).Version == c.Version
			resp := table.apply(txn)
			if resp.Committed != holds {
				t.Fatalf("condition holds: %v, committed: %v", holds, resp.Committed)
			}
			after := table.read([]string{"a", "b", "c"})
			if !holds && fmt.Sprint(before) != fmt.Sprint(after) {
				t.Fatalf("refused transaction changed %v to %v", before, after)
			}
			for k, v := range resp.Versions {
				if v <= newest[k] || table.row(k).Version != v {
					t.Fatalf("version of %s is %d after %d", k, v, newest[k])
				}
				newest[k] = v
			}
		}
		if got := table.scan("", "", maxScanRows); len(got.Rows) != len(table.rows) {
			t.Fatalf("scan has %d of %d rows", len(got.Rows), len(table.rows))
		}
	})
}

// Guards against scans that skip or repeat rows at a page boundary or return rows
// outside the prefix.
func TestScanPages(t *testing.T) {
	table := newTable()
	for _, k := range []string{"a/2", "b/1", "a/1", "a/3", "a"} {
		table.set(k, json.RawMessage(`0`))
	}
	first := table.scan("a/", "", 2)
	second := table.scan("a/", first.Rows[1].Key, 2)
	got := fmt.Sprint(first.Rows[0].Key, first.Rows[1].Key, first.More, second.Rows[0].Key, len(second.Rows), second.More)
	if want := fmt.Sprint("a/1", "a/2", true, "a/3", 1, false); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against injected faults that differ from their documentation: with an
// outage or a lost call the operation must not take effect, with a lost answer it
// must.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, Config{})
		version := func(key string) int64 {
			var resp platformapi.ReadResponse
			c.call("POST", "/table/read", platformapi.ReadRequest{Keys: []string{key}}, &resp)
			return resp.Rows[0].Version
		}
		for _, step := range []struct {
			fault   Fault
			status  int
			version int64
		}{
			{Fault{Outage: true}, http.StatusServiceUnavailable, 0},
			{Fault{LostCallRate: 1}, 0, 0},
			{Fault{LostAnswerRate: 1}, 0, 1},
			{Fault{LatencyMillis: 700}, http.StatusConflict, 1},
		} {
			if got := c.call("PUT", "/admin/faults", Faults{OpTxn: step.fault}, nil); got != http.StatusOK {
				t.Fatalf("setting faults: status %d", got)
			}
			from := time.Now()
			if got := c.call("POST", "/table/txn", insert("k", `{"a":1}`), nil); got != step.status {
				t.Errorf("%+v: status %d, want %d", step.fault, got, step.status)
			}
			if took := time.Since(from); took != time.Duration(step.fault.LatencyMillis)*time.Millisecond {
				t.Errorf("%+v: took %s", step.fault, took)
			}
			if got := version("k"); got != step.version {
				t.Errorf("%+v: version %d, want %d", step.fault, got, step.version)
			}
		}
		if got := c.call("PUT", "/admin/faults", Faults{"tnx": {}}, nil); got != http.StatusBadRequest {
			t.Errorf("unknown operation: status %d", got)
		}
		c.call("DELETE", "/admin/faults", nil, nil)
		if got := c.call("POST", "/table/txn", insert("k2", `1`), nil); got != http.StatusOK {
			t.Errorf("after the faults: status %d", got)
		}
	})
}

// Guards against rate limits that do not refill, or that reject operations before
// the limit is reached.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, Config{WritesPerSecond: 5, WeightsPerSecond: 0.5})
		refused := 0
		for i := range 8 {
			if c.call("POST", "/table/txn", insert(fmt.Sprint(i), `1`), nil) == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused != 3 {
			t.Errorf("%d of 8 writes refused at a limit of 5 per second", refused)
		}
		time.Sleep(time.Second)
		if got := c.call("POST", "/table/txn", insert("later", `1`), nil); got != http.StatusOK {
			t.Errorf("a second later: status %d", got)
		}
		fetch := platformapi.WeightFetch{BackendID: "b", Model: "m"}
		first, second := c.call("POST", "/weights/fetch", fetch, nil), c.call("POST", "/weights/fetch", fetch, nil)
		time.Sleep(2 * time.Second)
		if third := c.call("POST", "/weights/fetch", fetch, nil); first != 200 || second != 429 || third != 200 {
			t.Errorf("weight fetches: %d, %d, two seconds later %d", first, second, third)
		}
	})
}

// Guards against object names that are altered when the URL is parsed or cleaned.
func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, Config{})
		for _, name := range []string{"plain", "a/b//c", "with%20space"} {
			if got := c.call("PUT", "/objects/"+name, "content of "+name, nil); got != http.StatusOK {
				t.Errorf("PUT %s: status %d", name, got)
			}
			var got string
			if c.call("GET", "/objects/"+name, nil, &got); got != "content of "+name {
				t.Errorf("GET %s: %q", name, got)
			}
		}
		if got := c.call("GET", "/objects/absent", nil, nil); got != http.StatusNotFound {
			t.Errorf("absent object: status %d", got)
		}
	})
}

// Guards against a host list that shows a change before its lag has passed, or
// never.
func TestHostListLag(t *testing.T) {
	h := &hostList{lag: 3 * time.Second}
	h.set(t0, platformapi.HostList{Hosts: []platformapi.Host{{HostID: "h1", State: platformapi.HostLive}}})
	if err := h.change(t0.Add(time.Second), StateChange{HostID: "h1", State: platformapi.HostLeaving}); err != nil {
		t.Fatal(err)
	}
	if err := h.change(t0.Add(2*time.Second), StateChange{HostID: "h1", State: "removed"}); err != nil {
		t.Fatal(err)
	}
	if err := h.change(t0, StateChange{HostID: "h9", State: platformapi.HostLeaving}); err == nil {
		t.Error("change of an unlisted host accepted")
	}
	for _, step := range []struct {
		after time.Duration
		want  string
	}{{0, "live"}, {3999 * time.Millisecond, "live"}, {4 * time.Second, "leaving"}, {5 * time.Second, ""}} {
		state := ""
		if hosts := h.get(t0.Add(step.after)).Hosts; len(hosts) > 0 {
			state = hosts[0].State
		}
		if state != step.want {
			t.Errorf("after %s: state %q, want %q", step.after, state, step.want)
		}
	}
}

// Guards against invalid host list files that are accepted, and against changes of
// the file that are missed.
func TestHostListFile(t *testing.T) {
	const host = "[[hosts]]\nhost_id = \"h1\"\naddress = \"127.0.0.1:1\"\ncaller_address = \"127.0.0.1:2\"\ndata_centre = \"dc1\"\nstate = \"live\"\n"
	const backend = "[[backends]]\nbackend_id = \"b1\"\nurl = \"http://127.0.0.1:3\"\ndata_centre = \"dc1\"\nkind = \"engine\"\nstate = \"live\"\n"
	for _, wrong := range []string{strings.Replace(host, "live", "gone", 1), host + host, host + "colour = 1\n"} {
		if _, err := parseList("hosts.toml", []byte(wrong)); err == nil {
			t.Errorf("accepted:\n%s", wrong)
		}
	}
	name := filepath.Join(t.TempDir(), "hosts.toml")
	if err := os.WriteFile(name, []byte(host), 0o600); err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		p, err := New(Config{HostListFile: name})
		if err != nil {
			t.Fatal(err)
		}
		go p.Run(t.Context())
		if err := os.WriteFile(name, []byte(host+backend), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * filePollInterval)
		if got := p.hosts.get(time.Now()); len(got.Backends) != 1 || got.Backends[0].Kind != platformapi.KindEngine || len(got.Hosts) != 1 {
			t.Errorf("after the change: %+v", got)
		}
	})
}
