//go:build linux

package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/lab/ledger"
	"github.com/yuccahatch/yuccahatch/lab/scrape"
	"github.com/yuccahatch/yuccahatch/lab/service"
)

// requestTimeout is the time limit of one HTTP request from a test to a process.
const requestTimeout = 5 * time.Second

// httpResponse is the response to an HTTP request. If the request failed or the
// body could not be read, err is set; status 0 means that no response arrived.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// decode unmarshals the JSON body into value.
func (r httpResponse) decode(t *testing.T, value any) {
	t.Helper()
	if r.err != nil {
		t.Fatal(r.err)
	}
	if err := json.Unmarshal(r.body, value); err != nil {
		t.Fatalf("status %d with body %.300q: %v", r.status, r.body, err)
	}
}

// failure decodes the body as an error response of the caller API.
func (r httpResponse) failure(t *testing.T) callerapi.ErrorDetail {
	t.Helper()
	var e callerapi.Error
	r.decode(t, &e)
	return e.Error
}

// do sends one HTTP request. A non-empty key is sent as the bearer token.
func do(method, url, key string, header map[string]string, body []byte) httpResponse {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return httpResponse{err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return httpResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return httpResponse{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func mustJSON(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// status returns a node's view of the deployment and reports whether the node
// returned one.
func (d *deployment) status(n *nodeProcess) (operatorapi.Status, bool) {
	var status operatorapi.Status
	a := do(http.MethodGet, "http://"+n.operatorAddress+operatorapi.RouteStatus, operatorKey, nil, nil)
	return status, a.err == nil && a.status == http.StatusOK && json.Unmarshal(a.body, &status) == nil
}

// noBaseVersion stands for a contract change without a base version header.
const noBaseVersion = -1

// sendContract sends a change of the team's contract without checking the response.
func (d *deployment) sendContract(n *nodeProcess, document string, base int64) httpResponse {
	header := map[string]string{}
	if base != noBaseVersion {
		header[operatorapi.HeaderBaseVersion] = strconv.FormatInt(base, 10)
	}
	return do(http.MethodPut, "http://"+n.operatorAddress+operatorapi.RouteContracts+"/"+team, operatorKey, header, []byte(document))
}

// putContract changes the team's contract and requires that the change is
// committed.
func (d *deployment) putContract(n *nodeProcess, document string) operatorapi.PutResult {
	d.t.Helper()
	a := d.sendContract(n, document, noBaseVersion)
	if a.status != http.StatusOK && a.status != http.StatusAccepted {
		d.t.Fatalf("contract change: status %d, %s, %v", a.status, a.body, a.err)
	}
	var result operatorapi.PutResult
	a.decode(d.t, &result)
	return result
}

// putSecondContract creates the contract of the second team.
func (d *deployment) putSecondContract(document string) {
	d.t.Helper()
	a := do(http.MethodPut, "http://"+d.nodes[0].operatorAddress+operatorapi.RouteContracts+"/arejo-porto", operatorKey, nil, []byte(document))
	if a.status != http.StatusOK && a.status != http.StatusAccepted {
		d.t.Fatalf("contract of the second team: status %d, %s, %v", a.status, a.body, a.err)
	}
}

// setFaults sets the faults that the simulated platform injects; nil removes all.
func (d *deployment) setFaults(faults map[string]any) {
	d.t.Helper()
	if faults == nil {
		faults = map[string]any{}
	}
	a := do(http.MethodPut, d.platformURL+"/admin/faults", "", nil, mustJSON(d.t, faults))
	if a.err != nil || a.status != http.StatusOK {
		d.t.Fatalf("set faults of the platform: status %d, %s, %v", a.status, a.body, a.err)
	}
}

// outage returns faults that make every operation of the platform fail.
func outage() map[string]any { return map[string]any{"*": map[string]any{"outage": true}} }

// setHostState changes the state of one entry of the host list. The field is
// host_id for a node or backend_id for a backend server.
func (d *deployment) setHostState(field, id, state string) {
	d.t.Helper()
	a := do(http.MethodPost, d.platformURL+"/admin/hosts", "", nil, mustJSON(d.t, map[string]string{field: id, "state": state}))
	if a.err != nil || a.status >= http.StatusBadRequest {
		d.t.Fatalf("set state in the host list: status %d, %s, %v", a.status, a.body, a.err)
	}
}

// load returns an engine's load report.
func (d *deployment) load(e *backendProcess) backendapi.Load {
	d.t.Helper()
	var load backendapi.Load
	do(http.MethodGet, e.url+backendapi.RouteLoad, "", nil, nil).decode(d.t, &load)
	return load
}

// busyEngine waits until at least one of the engines has a running or waiting stream
// and returns the last such engine.
func (d *deployment) busyEngine(engines ...*backendProcess) *backendProcess {
	d.t.Helper()
	var busy *backendProcess
	d.await(awaitTimeout, "an engine has a stream", func() bool {
		busy = nil
		for _, e := range engines {
			if load := d.load(e); load.Running+load.Waiting > 0 {
				busy = e
			}
		}
		return busy != nil
	})
	return busy
}

// enginesIdle reports whether no engine has a running or waiting stream.
func (d *deployment) enginesIdle() bool {
	for _, e := range d.engines {
		if load := d.load(e); load.Running+load.Waiting > 0 {
			return false
		}
	}
	return true
}

// runs returns the number of times that the booking service ran each idempotency
// key.
func (d *deployment) runs() service.Runs {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	runs, err := ledger.FetchRuns(ctx, http.DefaultClient, d.service.url)
	if err != nil {
		d.t.Fatal(err)
	}
	return runs
}

// metric returns the sum of a metric over all nodes that respond.
func (d *deployment) metric(name string, labels ...string) float64 {
	d.t.Helper()
	sum := 0.0
	for _, n := range d.nodes {
		a := do(http.MethodGet, "http://"+n.operatorAddress+operatorapi.RouteMetrics, operatorKey, nil, nil)
		if a.status != http.StatusOK {
			continue
		}
		page, err := scrape.Parse(bytes.NewReader(a.body))
		if err != nil {
			d.t.Fatal(err)
		}
		sum += page.Sum(name, labels...)
	}
	return sum
}

// callerAddresses returns the node addresses that a node lists for callers.
func (d *deployment) callerAddresses(n *nodeProcess) []string {
	d.t.Helper()
	var addresses callerapi.Addresses
	do(http.MethodGet, "http://"+n.callerAddress+callerapi.RouteAddresses, "", nil, nil).decode(d.t, &addresses)
	var list []string
	for _, a := range addresses.Addresses {
		list = append(list, a.Address)
	}
	return list
}
