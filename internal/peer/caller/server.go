// Package caller implements the HTTP API for callers: completions with
// server-sent events following the OpenAI API, continuation of a generation from
// a cursor, node addresses, and calls to plain services.
//
// The package keeps no state except the number of requests in progress. Each
// request is served by its own goroutine.
package caller

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Access is the identity of an authenticated caller.
type Access struct {
	Team ident.Team
	// KeyHash is the hash of the bearer key. A contract change may remove the key
	// while the request is being checked.
	KeyHash contract.KeyHash
}

// GenerationRequest is a validated request to start or continue a generation.
type GenerationRequest struct {
	Request       ident.RequestID
	Route         string
	Body          []byte
	RequestDigest cursor.Digest
	Model         string
	Prompt        string
	MaxTokens     int
	// Cursor is the Last-Event-ID that the caller sent, empty for a new
	// generation.
	Cursor string
	// ReceivedText is the text that the caller has received so far, or nil if it
	// did not send it.
	ReceivedText *string
}

// ServiceCall is a validated call to a plain service.
type ServiceCall struct {
	Request ident.RequestID
	Service string
	Method  string
	// Path is the escaped path relative to the service, with a leading slash.
	Path string
	// CleanPath is Path unescaped and cleaned. Contract rules match against it,
	// so that an escaped letter or a dot segment cannot bypass them.
	CleanPath string
	// Query is the raw query.
	Query          string
	IdempotencyKey string
	Header         http.Header
	Body           []byte
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed reports whether the response was stored by an earlier attempt.
	Replayed bool
}

// Gateway processes the validated requests of callers. Its errors are *Failure.
type Gateway interface {
	Authenticate(key string) (Access, error)
	Addresses(remote string) callerapi.Addresses
	Models(access Access) []string
	// Generate runs a new generation and sends its tokens to the sink.
	Generate(ctx context.Context, access Access, request *GenerationRequest, sink generation.Sink) (generation.Result, error)
	// Continue sends the rest of a generation, after the position of the
	// request's cursor, to the sink.
	Continue(ctx context.Context, access Access, request *GenerationRequest, sink generation.Sink) (generation.Result, error)
	// OriginalRequest returns the route and body of the request that the presented
	// cursor belongs to.
	OriginalRequest(ctx context.Context, access Access, presented string) (route string, body []byte, err error)
	Call(ctx context.Context, access Access, call *ServiceCall) (ServiceResponse, error)
}

// Limits holds the limits on the requests of callers.
type Limits struct {
	MaxBodyBytes    int64
	MaxOutputTokens int
	// MaxRequests is the maximum number of requests in progress; 0 means no limit.
	MaxRequests int
}

// Server serves the HTTP API for callers.
type Server struct {
	gateway Gateway
	limits  Limits
}

// NewServer returns a Server that passes requests to gateway.
func NewServer(gateway Gateway, limits Limits) *Server {
	return &Server{gateway: gateway, limits: limits}
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc(callerapi.RouteAddresses, s.addresses).Methods(http.MethodGet)
	router.HandleFunc(callerapi.RouteModels, s.authenticated(s.models)).Methods(http.MethodGet)
	router.HandleFunc(callerapi.RouteChatCompletions, s.authenticated(s.completion)).Methods(http.MethodPost)
	router.HandleFunc(callerapi.RouteCompletions, s.authenticated(s.completion)).Methods(http.MethodPost)
	router.HandleFunc(callerapi.RouteGenerations, s.authenticated(s.continuation)).Methods(http.MethodGet)
	router.PathPrefix(callerapi.RouteServices).HandlerFunc(s.authenticated(s.service))
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	if s.limits.MaxRequests <= 0 {
		return router
	}
	return limitRequests(s.limits.MaxRequests, router)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, &Failure{Code: callerapi.CodeNotFound, Message: "no route " + r.Method + " " + r.URL.Path})
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, &Failure{Code: callerapi.CodeNotFound, Message: "method " + r.Method + " is not served on " + r.URL.Path})
}

type accessHandler func(w http.ResponseWriter, r *http.Request, access Access)

// authenticated calls next for requests whose bearer key the gateway accepts and
// rejects the others.
func (s *Server) authenticated(next accessHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		access, err := s.gateway.Authenticate(bearerKey(r))
		if err != nil {
			writeRejection(w, r, err)
			return
		}
		next(w, r, access)
	}
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.gateway.Addresses(r.RemoteAddr))
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, access Access) {
	list := callerapi.ModelList{Object: "list", Data: []callerapi.Model{}}
	for _, model := range s.gateway.Models(access) {
		list.Data = append(list.Data, callerapi.Model{ID: model, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request, access Access) {
	body, err := readBody(r, s.limits.MaxBodyBytes)
	if err != nil {
		writeFailure(w, err)
		return
	}
	s.generate(w, r, access, r.URL.Path, body)
}

// continuation continues a generation from a cursor. The caller does not send the
// request body again; the gateway looks it up.
func (s *Server) continuation(w http.ResponseWriter, r *http.Request, access Access) {
	presented := r.Header.Get(callerapi.HeaderLastEventID)
	if presented == "" {
		writeFailure(w, invalidRequest(callerapi.HeaderLastEventID, "the header Last-Event-ID is missing"))
		return
	}
	route, body, err := s.gateway.OriginalRequest(r.Context(), access, presented)
	if err != nil {
		writeFailure(w, err)
		return
	}
	s.generate(w, r, access, route, body)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, access Access, route string, body []byte) {
	id, err := requestID(r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.Header().Set(callerapi.HeaderRequestID, string(id))
	decoded, err := decodeCompletion(route, body, s.limits.MaxOutputTokens)
	if err != nil {
		writeFailure(w, err)
		return
	}
	request := &GenerationRequest{
		Request:       id,
		Route:         route,
		Body:          body,
		RequestDigest: requestDigest(route, decoded),
		Model:         decoded.Model,
		Prompt:        promptOf(route, decoded),
		MaxTokens:     decoded.MaxTokens,
		Cursor:        r.Header.Get(callerapi.HeaderLastEventID),
		ReceivedText:  decoded.ReceivedText,
	}
	sink := newResponseSink(w, route, request, decoded.Stream)
	run := s.gateway.Generate
	if request.Cursor != "" {
		run = s.gateway.Continue
	}
	result, err := run(r.Context(), access, request, sink)
	sink.complete(result, err)
}
