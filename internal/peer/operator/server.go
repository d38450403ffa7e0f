// Package operator is the HTTP server for operators.
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

// Change is a contract change as an operator sent it.
type Change struct {
	Document []byte
	// Base is contractlog.BaseNewest if the operator named none.
	Base ident.ContractVersion
	// ChangeID is empty if the operator named none.
	ChangeID string
	Actor    string
}

// Backend does what operators ask for. Its errors are those of contractlog,
// audit or NewError; any other error is answered as an internal one.
type Backend interface {
	// PutContract commits and distributes a change.
	PutContract(ctx context.Context, change Change) (operatorapi.PutResult, error)
	// Contract returns the newest version of a contract, or CodeNotFound.
	Contract(ctx context.Context, team ident.Team) (operatorapi.Contract, error)
	// Contracts returns the newest version of every contract.
	Contracts(ctx context.Context) (operatorapi.ContractList, error)
	// History returns the versions of a contract, newest first.
	History(ctx context.Context, team ident.Team) (operatorapi.ContractList, error)
	// Status tells how the node sees the deployment.
	Status(ctx context.Context) (operatorapi.Status, error)
	// Audit returns records later than an instant; an empty team means all.
	Audit(ctx context.Context, team ident.Team, after time.Time) (operatorapi.AuditPage, error)
	// Explain returns the decisions on a request, or CodeNotFound.
	Explain(ctx context.Context, request ident.RequestID) (operatorapi.Explanation, error)
	// Trace returns the recorded sessions of a request in the form of package
	// trace, or CodeNotFound.
	Trace(ctx context.Context, request ident.RequestID) ([]byte, error)
}

// Key is the bearer key of an operator; the name appears in the audit trail.
type Key struct {
	Name string
	Hash [sha256.Size]byte
}

// Config is what the server needs of the node.
type Config struct {
	Keys    []Key
	Backend Backend
	// Metrics serves the scrape page; nil answers 404.
	Metrics http.Handler
	// Ready tells whether the node admits work, and if not, why.
	Ready func() (ready bool, reason string)
	Log   logrus.FieldLogger
}

type server struct{ Config }

// NewHandler returns the handler of all routes for operators. Only the health
// and readiness pages need no key.
func NewHandler(config Config) http.Handler {
	s := &server{config}
	// A request id may contain slashes and dots, which must not be cleaned away.
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc(operatorapi.RouteHealth, s.health).Methods(http.MethodGet)
	router.HandleFunc(operatorapi.RouteReady, s.ready).Methods(http.MethodGet)

	// Routes are registered on the router itself so that a wrong method is
	// answered with 405 and not with 404.
	guarded := func(path, method string, handle func(http.ResponseWriter, *http.Request, string)) {
		router.Handle(path, s.authenticated(handle)).Methods(method)
	}
	contracts := operatorapi.RouteContracts
	guarded(contracts, http.MethodGet, s.list)
	guarded(contracts+"/{customer}", http.MethodGet, s.get)
	guarded(contracts+"/{customer}", http.MethodPut, s.put)
	guarded(contracts+"/{customer}/history", http.MethodGet, s.history)
	guarded(operatorapi.RouteStatus, http.MethodGet, s.status)
	guarded(operatorapi.RouteAudit, http.MethodGet, s.auditPage)
	guarded(operatorapi.RouteExplain+"{request:.+}", http.MethodGet, s.explain)
	guarded(operatorapi.RouteTrace+"{request:.+}", http.MethodGet, s.trace)
	if config.Metrics != nil {
		guarded(operatorapi.RouteMetrics, http.MethodGet, func(w http.ResponseWriter, r *http.Request, _ string) {
			config.Metrics.ServeHTTP(w, r)
		})
	}
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, NewError(CodeNotFound, "no such page: %s", r.URL.Path))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, NewError(CodeMethod, "%s does not allow %s", r.URL.Path, r.Method))
	})
	return router
}

// authenticated passes the operator's name on.
func (s *server) authenticated(handle func(http.ResponseWriter, *http.Request, string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, ok := s.actor(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.fail(w, r, NewError(CodeUnauthorized, "a bearer key of an operator is required"))
			return
		}
		handle(w, r, actor)
	})
}

// actor compares the key with every known one in constant time.
func (s *server) actor(r *http.Request) (name string, ok bool) {
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
		s.fail(w, r, err)
		return
	}
	change.Actor = actor
	result, err := s.Backend.PutContract(r.Context(), change)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	status := http.StatusAccepted
	if result.Accepted {
		status = http.StatusOK
	}
	s.write(w, status, result)
}

// readChange reads and checks all of a change but the document itself, whose
// refusal belongs in the audit trail.
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
	s.reply(w, r, list, err)
}

func (s *server) get(w http.ResponseWriter, r *http.Request, _ string) {
	found, err := s.Backend.Contract(r.Context(), ident.Team(mux.Vars(r)["customer"]))
	s.reply(w, r, found, err)
}

func (s *server) history(w http.ResponseWriter, r *http.Request, _ string) {
	list, err := s.Backend.History(r.Context(), ident.Team(mux.Vars(r)["customer"]))
	s.reply(w, r, list, err)
}

func (s *server) status(w http.ResponseWriter, r *http.Request, _ string) {
	status, err := s.Backend.Status(r.Context())
	s.reply(w, r, status, err)
}

func (s *server) auditPage(w http.ResponseWriter, r *http.Request, _ string) {
	var after time.Time
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = time.Parse(time.RFC3339Nano, text); err != nil {
			s.fail(w, r, NewError(CodeBadRequest, "after is %q; allowed: a time such as 2026-01-02T15:04:05Z", text))
			return
		}
	}
	page, err := s.Backend.Audit(r.Context(), ident.Team(r.URL.Query().Get("customer")), after)
	s.reply(w, r, page, err)
}

func (s *server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	explanation, err := s.Backend.Explain(r.Context(), ident.RequestID(mux.Vars(r)["request"]))
	s.reply(w, r, explanation, err)
}

func (s *server) trace(w http.ResponseWriter, r *http.Request, _ string) {
	lines, err := s.Backend.Trace(r.Context(), ident.RequestID(mux.Vars(r)["request"]))
	if err != nil {
		s.fail(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	if _, err := w.Write(lines); err != nil {
		s.Log.WithField("event", "operator_answer_lost").WithError(err).Info("answer to an operator was not sent")
	}
}

func (s *server) reply(w http.ResponseWriter, r *http.Request, body any, err error) {
	if err != nil {
		s.fail(w, r, err)
		return
	}
	s.write(w, http.StatusOK, body)
}

func (s *server) fail(w http.ResponseWriter, r *http.Request, err error) {
	status, body := answerTo(err)
	entry := s.Log.WithFields(logrus.Fields{"event": "operator_call_failed", "method": r.Method, "path": r.URL.Path, "status": status}).WithError(err)
	if status >= http.StatusInternalServerError {
		entry.Error("call of an operator failed")
	} else {
		entry.Info("call of an operator refused")
	}
	s.write(w, status, body)
}

func (s *server) write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.Log.WithField("event", "operator_answer_lost").WithError(err).Info("answer to an operator was not sent")
	}
}
