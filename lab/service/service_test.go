package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahatch/yuccahatch/lab/pipenet"
)

// Guards against a run count that misses runs whose answer was lost or includes
// calls that were lost, and against a graceful shutdown that accepts new calls.
func TestRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := New(Config{})
		if err != nil {
			t.Fatal(err)
		}
		network := pipenet.New()
		stop := network.Serve("service:1", s.Handler())
		client := network.Client()
		defer func() { client.CloseIdleConnections(); stop(); synctest.Wait() }()
		book := func(key string) int {
			req, _ := http.NewRequest("POST", "http://service:1/bookings", strings.NewReader(`{"seat":4}`))
			req.Header.Set("Idempotency-Key", key)
			resp, err := client.Do(req)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}
		for _, step := range []struct {
			faults Faults
			key    string
			status int
		}{
			{Faults{}, "k1", 201},
			{Faults{LatencyMillis: 300}, "k1", 201},
			{Faults{LostAnswerRate: 1}, "k2", 0},
			{Faults{LostCallRate: 1}, "k3", 0},
		} {
			body, _ := json.Marshal(step.faults)
			resp, err := client.Post("http://service:1/admin/faults", "application/json", strings.NewReader(string(body)))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("setting faults: %v", err)
			}
			resp.Body.Close()
			from := time.Now()
			if got := book(step.key); got != step.status {
				t.Errorf("%+v: status %d, want %d", step.faults, got, step.status)
			}
			if took := time.Since(from); took != time.Duration(step.faults.LatencyMillis)*time.Millisecond {
				t.Errorf("%+v: took %s", step.faults, took)
			}
		}
		resp, err := client.Get("http://service:1/admin/runs")
		if err != nil {
			t.Fatal(err)
		}
		var runs Runs
		json.NewDecoder(resp.Body).Decode(&runs) //nolint:errcheck // checked below
		resp.Body.Close()
		if runs.Total != 3 || runs.Keys["k1"] != 2 || runs.Keys["k2"] != 1 || runs.Keys["k3"] != 0 {
			t.Errorf("runs are %+v", runs)
		}
		s.Leave()
		<-s.Drained()
		if got := book("k4"); got != http.StatusServiceUnavailable {
			t.Errorf("call while leaving: status %d", got)
		}
	})
}
