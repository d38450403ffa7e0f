// Package operator implements the HTTP API for operators: contracts, status,
// audit, explanations, traces, metrics and health.
//
// The handler keeps no state of its own. Each request is served by its own
// goroutine, so a Backend must be safe for concurrent use.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractlog"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Change is a contract change that an operator requests.
type Change struct {
	Document []byte
	// Base is the version that the change is based on, contractlog.BaseNewest if
	// the operator sent none.
	Base ident.ContractVersion
	// ChangeID is empty if the operator sent none.
	ChangeID string
	// Actor is the name of the operator.
	Actor string
}

// Backend executes the requests of operators. Its errors come from contractlog,
// audit or NewError; any other error is reported as an internal error.
type Backend interface {
	// PutContract commits and distributes a change.
	PutContract(ctx context.Context, change Change) (operatorapi.PutResult, error)
	// Contract returns the newest version of a contract, or CodeNotFound.
	Contract(ctx context.Context, team ident.Team) (operatorapi.Contract, error)
	// Contracts returns the newest version of every contract.
	Contracts(ctx context.Context) (operatorapi.ContractList, error)
	// History returns the versions of a contract, newest first.
	History(ctx context.Context, team ident.Team) (operatorapi.ContractList, error)
	// Status returns the node's view of the deployment.
	Status(ctx context.Context) (operatorapi.Status, error)
	// Audit returns the audit records later than after; an empty team selects all
	// teams.
	Audit(ctx context.Context, team ident.Team, after time.Time) (operatorapi.AuditPage, error)
	// Explain returns the decisions recorded for a request, or CodeNotFound.
	Explain(ctx context.Context, request ident.RequestID) (operatorapi.Explanation, error)
	// Trace returns the recorded sessions of a request in the format of package
	// trace, or CodeNotFound.
	Trace(ctx context.Context, request ident.RequestID) ([]byte, error)
}

// Key identifies an operator by the hash of a bearer key.
type Key struct {
	// Name is the name of the operator in the audit trail.
	Name string
	// Hash is the SHA-256 of the bearer key.
	Hash [sha256.Size]byte
}

// Config configures the handler.
type Config struct {
	Keys    []Key
	Backend Backend
	// Metrics serves the metrics route; if it is nil, the route returns 404.
	Metrics http.Handler
	// Ready reports whether the node admits work, and the reason if it does not.
	// If it is nil, the node is always ready.
	Ready func() (ready bool, reason string)
	Log   logrus.FieldLogger
}

type server struct{ Config }

// NewHandler returns the handler of all operator routes. All of them require a
// key except health and readiness.
func NewHandler(config Config) http.Handler {
	s := &server{config}
	// Request ids may contain slashes and dots, which path cleaning would remove.
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc(operatorapi.RouteHealth, s.health).Methods(http.MethodGet)
	router.HandleFunc(operatorapi.RouteReady, s.ready).Methods(http.MethodGet)

	// Routes are registered on the router itself, not on a subrouter, so that a
	// wrong method gives 405 and not 404.
	handleAuthenticated := func(path, method string, handle func(http.ResponseWriter, *http.Request, string)) {
		router.Handle(path, s.authenticated(handle)).Methods(method)
	}
	contracts := operatorapi.RouteContracts
	handleAuthenticated(contracts, http.MethodGet, s.list)
	handleAuthenticated(contracts+"/{customer}", http.MethodGet, s.get)
	handleAuthenticated(contracts+"/{customer}", http.MethodPut, s.put)
	handleAuthenticated(contracts+"/{customer}/history", http.MethodGet, s.history)
	handleAuthenticated(operatorapi.RouteStatus, http.MethodGet, s.status)
	handleAuthenticated(operatorapi.RouteAudit, http.MethodGet, s.auditPage)
	handleAuthenticated(operatorapi.RouteExplain+"{request:.+}", http.MethodGet, s.explain)
	handleAuthenticated(operatorapi.RouteTrace+"{request:.+}", http.MethodGet, s.trace)
	if config.Metrics != nil {
		handleAuthenticated(operatorapi.RouteMetrics, http.MethodGet, func(w http.ResponseWriter, r *http.Request, _ string) {
			config.Metrics.ServeHTTP(w, r)
		})
	}
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, r, NewError(CodeNotFound, "no such page: %s", r.URL.Path))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, r, NewError(CodeMethodNotAllowed, "%s does not allow %s", r.URL.Path, r.Method))
	})
	return router
}

// authenticated calls handle with the operator's name if the request carries a
// valid key, and responds with 401 otherwise.
func (s *server) authenticated(handle func(http.ResponseWriter, *http.Request, string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, ok := s.operatorName(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeError(w, r, NewError(CodeUnauthorized, "a bearer key of an operator is required"))
			return
		}
		handle(w, r, actor)
	})
}

// operatorName returns the name of the operator whose key the request carries. It
// compares the key with every configured key in constant time.
func (s *server) operatorName(r *http.Request) (name string, ok bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(key))
	for i := range s.Keys {
		if subtle.ConstantTimeCompare(hash[:], s.Keys[i].Hash[:]) == 1 {
			name, ok = s.Keys[i].Name, true
		}
	}
	return name, ok
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil {
		if ready, reason := s.Ready(); !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

func (s *server) put(w http.ResponseWriter, r *http.Request, actor string) {
	change, err := readChange(w, r)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	change.Actor = actor
	result, err := s.Backend.PutContract(r.Context(), change)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	status := http.StatusAccepted
	if result.Accepted {
		status = http.StatusOK
	}
	s.writeJSON(w, status, result)
}

// readChange reads a change and validates everything except the document, because
// a rejected document must be recorded in the audit trail.
func readChange(w http.ResponseWriter, r *http.Request) (Change, error) {
	change := Change{Base: contractlog.BaseNewest, ChangeID: r.Header.Get(operatorapi.HeaderChangeID)}
	if text := r.Header.Get(operatorapi.HeaderBaseVersion); text != "" {
		base, err := strconv.ParseInt(text, 10, 64)
		if err != nil || base < 0 {
			return change, NewError(CodeBadRequest, "%s is %q; allowed: a version number from 0", operatorapi.HeaderBaseVersion, text)
		}
		change.Base = ident.ContractVersion(base)
	}
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, contract.MaxDocumentBytes))
	if err != nil {
		if codeOf(err) == CodeTooLarge {
			return change, NewError(CodeTooLarge, "the document is larger than %d bytes", contract.MaxDocumentBytes)
		}
		return change, NewError(CodeBadRequest, "the document could not be read: %v", err)
	}
	team := mux.Vars(r)["customer"]
	if named := contract.TeamOf(document); named != "" && string(named) != team {
		return change, NewError(CodeBadRequest, "the document is the contract of %q, the path names %q", named, team)
	}
	change.Document = document
	return change, nil
}

func (s *server) list(w http.ResponseWriter, r *http.Request, _ string) {
	list, err := s.Backend.Contracts(r.Context())
	s.writeResult(w, r, list, err)
}

func (s *server) get(w http.ResponseWriter, r *http.Request, _ string) {
	found, err := s.Backend.Contract(r.Context(), ident.Team(mux.Vars(r)["customer"]))
	s.writeResult(w, r, found, err)
}

func (s *server) history(w http.ResponseWriter, r *http.Request, _ string) {
	list, err := s.Backend.History(r.Context(), ident.Team(mux.Vars(r)["customer"]))
	s.writeResult(w, r, list, err)
}

func (s *server) status(w http.ResponseWriter, r *http.Request, _ string) {
	status, err := s.Backend.Status(r.Context())
	s.writeResult(w, r, status, err)
}

func (s *server) auditPage(w http.ResponseWriter, r *http.Request, _ string) {
	var after time.Time
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = time.Parse(time.RFC3339Nano, text); err != nil {
			s.writeError(w, r, NewError(CodeBadRequest, "after is %q; allowed: a time such as 2026-01-02T15:04:05Z", text))
			return
		}
	}
	page, err := s.Backend.Audit(r.Context(), ident.Team(r.URL.Query().Get("customer")), after)
	s.writeResult(w, r, page, err)
}

func (s *server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	explanation, err := s.Backend.Explain(r.Context(), ident.RequestID(mux.Vars(r)["request"]))
	s.writeResult(w, r, explanation, err)
}

func (s *server) trace(w http.ResponseWriter, r *http.Request, _ string) {
	lines, err := s.Backend.Trace(r.Context(), ident.RequestID(mux.Vars(r)["request"]))
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	if _, err := w.Write(lines); err != nil {
		s.Log.WithField("event", "operator_answer_lost").WithError(err).Info("failed to write response to operator")
	}
}

func (s *server) writeResult(w http.ResponseWriter, r *http.Request, body any, err error) {
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeJSON(w, http.StatusOK, body)
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, body := errorResponse(err)
	entry := s.Log.WithFields(logrus.Fields{"event": "operator_call_failed", "method": r.Method, "path": r.URL.Path, "status": status}).WithError(err)
	if status >= http.StatusInternalServerError {
		entry.Error("operator request failed")
	} else {
		entry.Info("operator request rejected")
	}
	s.writeJSON(w, status, body)
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.Log.WithField("event", "operator_answer_lost").WithError(err).Info("failed to write response to operator")
	}
}
