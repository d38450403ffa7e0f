package caller

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// forwardedHeaders are the request headers that reach a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

func (s *Server) service(w http.ResponseWriter, r *http.Request, access Access) {
	call, err := s.decodeCall(r)
	if err != nil {
		writeRejection(w, r, err)
		return
	}
	w.Header().Set(callerapi.HeaderRequestID, string(call.Request))
	response, err := s.gateway.Call(r.Context(), access, call)
	if err != nil {
		writeRejection(w, r, err)
		return
	}
	writeServiceResponse(w, response)
}

func (s *Server) decodeCall(r *http.Request) (*ServiceCall, error) {
	id, err := requestID(r)
	if err != nil {
		return nil, err
	}
	rest := strings.TrimPrefix(r.URL.EscapedPath(), callerapi.RouteServices)
	service, subpath, found := strings.Cut(rest, "/")
	if service == "" || !found {
		return nil, invalidRequest("path", "the path must be "+callerapi.RouteServices+"SERVICE/PATH")
	}
	decoded, err := url.PathUnescape(subpath)
	if err != nil {
		return nil, invalidRequest("path", "the path is not validly escaped")
	}
	key := r.Header.Get(callerapi.HeaderIdempotencyKey)
	if err := checkIdentifier(callerapi.HeaderIdempotencyKey, key); err != nil {
		return nil, err
	}
	body, err := readBody(r, s.limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	call := &ServiceCall{
		Request:        id,
		Service:        service,
		Method:         r.Method,
		Path:           "/" + subpath,
		CleanPath:      path.Clean("/" + decoded),
		Query:          r.URL.RawQuery,
		IdempotencyKey: key,
		Header:         http.Header{},
		Body:           body,
	}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			call.Header.Set(name, value)
		}
	}
	return call, nil
}
