package operator

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractlog"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/table/tabletest"
)

// fakeBackend commits changes to an in-memory table and returns fixed values for
// all other requests.
type fakeBackend struct {
	log      *contractlog.Log
	table    *tabletest.Table
	accepted bool
	last     Change
	request  ident.RequestID
	after    time.Time
	err      error
}

func (b *fakeBackend) PutContract(ctx context.Context, change Change) (operatorapi.PutResult, error) {
	b.last = change
	entry, err := b.log.Put(ctx, change.Document, change.Base, change.ChangeID, change.Actor)
	return operatorapi.PutResult{Contract: ContractOf(entry), Accepted: b.accepted}, err
}

func (b *fakeBackend) Contract(_ context.Context, team ident.Team) (operatorapi.Contract, error) {
	if team != "a" {
		return operatorapi.Contract{}, NewError(CodeNotFound, "no contract of %q", team)
	}
	return operatorapi.Contract{Customer: "a"}, b.err
}

func (b *fakeBackend) Contracts(context.Context) (operatorapi.ContractList, error) {
	return operatorapi.ContractList{Sequence: 7}, b.err
}

func (b *fakeBackend) History(context.Context, ident.Team) (operatorapi.ContractList, error) {
	return operatorapi.ContractList{}, b.err
}

func (b *fakeBackend) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{HostID: "h1"}, b.err
}

func (b *fakeBackend) Audit(_ context.Context, _ ident.Team, after time.Time) (operatorapi.AuditPage, error) {
	b.after = after
	return operatorapi.AuditPage{}, b.err
}

func (b *fakeBackend) Explain(_ context.Context, request ident.RequestID) (operatorapi.Explanation, error) {
	b.request = request
	return operatorapi.Explanation{}, b.err
}

func (b *fakeBackend) Trace(_ context.Context, request ident.RequestID) ([]byte, error) {
	b.request = request
	return []byte("{}\n"), b.err
}

type discardRecorder struct{}

func (discardRecorder) Record(operatorapi.AuditRecord) bool { return true }

func newServer() (*fakeBackend, http.Handler) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := tabletest.New()
	b := &fakeBackend{table: table, log: contractlog.New(table, discardRecorder{}, "h1", time.Now)}
	return b, NewHandler(Config{
		Keys: []Key{{"rui", sha256.Sum256([]byte("other"))}, {"ana", sha256.Sum256([]byte("secret"))}}, Backend: b, Log: log,
		Ready:   func() (bool, string) { return b.err == nil, "node_isolated" },
		Metrics: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	})
}

func call(handler http.Handler, method, path, key, body string, headers ...string) (int, operatorapi.Error) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	var answer operatorapi.Error
	if w.Code >= 400 {
		_ = json.Unmarshal(w.Body.Bytes(), &answer)
	}
	return w.Code, answer
}

// Guards against routes other than health and readiness being served without a
// valid key.
func TestAuthentication(t *testing.T) {
	_, handler := newServer()
	for path, open := range map[string]bool{
		operatorapi.RouteContracts: false, operatorapi.RouteContracts + "/a": false, operatorapi.RouteContracts + "/a/history": false,
		operatorapi.RouteStatus: false, operatorapi.RouteAudit: false, operatorapi.RouteExplain + "r1": false, operatorapi.RouteTrace + "r1": false, operatorapi.RouteMetrics: false,
		operatorapi.RouteHealth: true, operatorapi.RouteReady: true,
	} {
		for key, want := range map[string]int{"": 401, "wrong": 401, "secret": 200} {
			if open {
				want = 200
			}
			if status, answer := call(handler, "GET", path, key, ""); status != want || (status == 401 && answer.Code != string(CodeUnauthorized)) {
				t.Errorf("GET %s with key %q = %d %+v, want %d", path, key, status, answer, want)
			}
		}
	}
}

func TestPut(t *testing.T) {
	b, handler := newServer()
	const path = operatorapi.RouteContracts + "/a"
	const document = "customer = \"a\"\nshare_percent = 1\n"
	if status, _ := call(handler, "PUT", path, "secret", document, operatorapi.HeaderChangeID, "c1", operatorapi.HeaderBaseVersion, "0"); status != 202 {
		t.Errorf("recorded change: status %d", status)
	}
	if b.last.Actor != "ana" || b.last.ChangeID != "c1" || b.last.Base != 0 {
		t.Errorf("change = %+v", b.last)
	}
	b.accepted = true
	if status, _ := call(handler, "PUT", path, "secret", document); status != 200 || b.last.Base != contractlog.BaseNewest {
		t.Errorf("accepted change: status %d, base %d", status, b.last.Base)
	}
	for _, tc := range []struct {
		name, path, body string
		headers          []string
		status           int
		code             Code
	}{
		{"stale base", path, document, []string{operatorapi.HeaderBaseVersion, "1"}, 409, CodeConflict},
		{"bad base", path, document, []string{operatorapi.HeaderBaseVersion, "-1"}, 400, CodeBadRequest},
		{"bad change id", path, document, []string{operatorapi.HeaderChangeID, "a b"}, 400, CodeBadRequest},
		{"reused change id", path, document + "#", []string{operatorapi.HeaderChangeID, "c1"}, 409, CodeChangeIDReused},
		{"refused document", path, document + "priorty = 1", nil, 422, CodeRefused},
		{"other customer", operatorapi.RouteContracts + "/b", document, nil, 400, CodeBadRequest},
		{"too large", path, strings.Repeat("#", contract.MaxDocumentBytes+1), nil, 413, CodeTooLarge},
	} {
		status, answer := call(handler, "PUT", tc.path, "secret", tc.body, tc.headers...)
		if status != tc.status || answer.Code != string(tc.code) || answer.Message == "" {
			t.Errorf("%s: %d %+v", tc.name, status, answer)
		}
		if tc.code == CodeConflict && (answer.Current == nil || answer.Current.Version != 2) {
			t.Errorf("conflict lacks the newest version: %+v", answer)
		}
		if tc.code == CodeRefused && (answer.Line != 3 || answer.Key != "priorty") {
			t.Errorf("refusal lacks its position: %+v", answer)
		}
	}
	b.table.SetFaults(func(string) tabletest.Fault { return tabletest.FaultUnavailable })
	if status, answer := call(handler, "PUT", path, "secret", document); status != 503 || answer.Code != string(CodeStoreUnavailable) {
		t.Errorf("outage: %d %+v", status, answer)
	}
}

func TestReadRoutes(t *testing.T) {
	b, handler := newServer()
	if status, answer := call(handler, "GET", operatorapi.RouteContracts+"/x", "secret", ""); status != 404 || answer.Code != string(CodeNotFound) {
		t.Errorf("unknown contract: %d %+v", status, answer)
	}
	if status, answer := call(handler, "DELETE", operatorapi.RouteContracts+"/a", "secret", ""); status != 405 || answer.Code != string(CodeMethodNotAllowed) {
		t.Errorf("wrong method: %d %+v", status, answer)
	}
	if status, answer := call(handler, "GET", "/nothing", "secret", ""); status != 404 || answer.Code != string(CodeNotFound) {
		t.Errorf("unknown page: %d %+v", status, answer)
	}
	if status, _ := call(handler, "GET", operatorapi.RouteAudit+"?after=2026-01-02T15:04:05.5Z", "secret", ""); status != 200 || b.after.Nanosecond() != 5e8 {
		t.Errorf("audit: %d, after %s", status, b.after)
	}
	if status, _ := call(handler, "GET", operatorapi.RouteAudit+"?after=yesterday", "secret", ""); status != 400 {
		t.Errorf("audit with a bad time: %d", status)
	}
	// The message of an unexpected error may contain data that operators must not
	// see.
	b.err = errors.New("key sha256:1234")
	if status, answer := call(handler, "GET", operatorapi.RouteStatus, "secret", ""); status != 500 || strings.Contains(answer.Message, "1234") {
		t.Errorf("internal error: %d %+v", status, answer)
	}
	if status, _ := call(handler, "GET", operatorapi.RouteReady, "", ""); status != 503 {
		t.Errorf("readiness of an isolated node: %d", status)
	}
	b.table.SetFaults(func(string) tabletest.Fault { return tabletest.FaultUnavailable })
	_, b.err = audit.Page(t.Context(), b.table, "a", time.Time{}, 0)
	if status, answer := call(handler, "GET", operatorapi.RouteAudit, "secret", ""); status != 503 || answer.Code != string(CodeStoreUnavailable) {
		t.Errorf("audit during an outage: %d %+v", status, answer)
	}
}

// Guards against 404 responses for request ids with slashes. Callers choose the
// ids, and the router split or cleaned the path.
func TestRequestIDsWithSlashes(t *testing.T) {
	b, handler := newServer()
	for _, route := range []string{operatorapi.RouteExplain, operatorapi.RouteTrace} {
		for _, id := range []ident.RequestID{"a/b", "a//b/../c", "a b%2F"} {
			r := httptest.NewRequest(http.MethodGet, route+url.PathEscape(string(id)), nil)
			r.Header.Set("Authorization", "Bearer secret")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != http.StatusOK || b.request != id {
				t.Errorf("%s of %q: status %d for request %q", route, id, w.Code, b.request)
			}
		}
	}
}
