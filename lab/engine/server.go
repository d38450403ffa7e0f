package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// RouteAdminSilence is the route (POST) that calls Engine.Silence. Real engines do
// not have it.
const RouteAdminSilence = "/admin/silence"

// requestError is the error response to a request that the engine rejects.
type requestError struct {
	status int
	detail backendapi.ErrorDetail
}

var statusByCode = map[string]int{
	backendapi.CodeUnknownStream: http.StatusNotFound,
	backendapi.CodeUnknownModel:  http.StatusNotFound,
	backendapi.CodeStaleFencing:  http.StatusConflict,
	backendapi.CodeBadRequest:    http.StatusBadRequest,
	backendapi.CodeOverloaded:    http.StatusServiceUnavailable,
	backendapi.CodeLeaving:       http.StatusServiceUnavailable,
}

func newRequestError(code, message string) *requestError {
	return &requestError{status: statusByCode[code], detail: backendapi.ErrorDetail{Code: code, Message: message}}
}

func unknownStream(id string) *requestError {
	return newRequestError(backendapi.CodeUnknownStream, fmt.Sprintf("stream %q does not exist or is no longer kept", id))
}

// Handler returns the HTTP routes of the engine.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(backendapi.RouteCompletions, e.postCompletion).Methods(http.MethodPost)
	r.HandleFunc(backendapi.RouteStream+"{id}", e.getStream).Methods(http.MethodGet)
	r.HandleFunc(backendapi.RouteStream+"{id}", e.deleteStream).Methods(http.MethodDelete)
	r.HandleFunc(backendapi.RouteStream+"{id}/status", e.getStatus).Methods(http.MethodGet)
	r.HandleFunc(backendapi.RouteLoad, e.getLoad).Methods(http.MethodGet)
	r.HandleFunc(backendapi.RouteCacheEvents, e.getCacheEvents).Methods(http.MethodGet)
	r.HandleFunc(backendapi.RouteOrders, e.postOrder).Methods(http.MethodPost)
	r.HandleFunc(backendapi.RouteState, e.getState).Methods(http.MethodGet)
	r.HandleFunc(backendapi.RouteHealth, getHealth).Methods(http.MethodGet)
	r.HandleFunc(RouteAdminSilence, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"connections": e.Silence()})
	}).Methods(http.MethodPost)
	return r
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, r *requestError) {
	writeJSON(w, r.status, backendapi.Error{Error: r.detail})
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeError(w, newRequestError(backendapi.CodeBadRequest, "body: "+err.Error()))
		return false
	}
	return true
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	var req backendapi.CompletionRequest
	if !readJSON(w, r, &req) {
		return
	}
	s, rd, reqErr := e.submit(time.Now(), req)
	if reqErr != nil {
		writeError(w, reqErr)
		return
	}
	e.serveStream(w, r, s, rd, s.firstIndex)
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	var last *int
	if text := r.Header.Get(backendapi.HeaderLastEventID); text != "" {
		index, err := strconv.Atoi(text)
		if err != nil {
			writeError(w, newRequestError(backendapi.CodeBadRequest,
				fmt.Sprintf("%s %q is not a number", backendapi.HeaderLastEventID, text)))
			return
		}
		last = &index
	}
	s, rd, from, reqErr := e.resume(mux.Vars(r)["id"], last)
	if reqErr != nil {
		writeError(w, reqErr)
		return
	}
	e.serveStream(w, r, s, rd, from)
}

// serveStream writes events until the stream has ended or the client has
// disconnected.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, rd *reader, from int) {
	defer e.detach(s, rd)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	var buf bytes.Buffer
	for {
		select {
		case <-r.Context().Done():
			return
		case <-rd.changed:
		}
		events, phase, ok := e.read(s, rd, from)
		if !ok {
			<-r.Context().Done()
			return
		}
		buf.Reset()
		for _, event := range events {
			writeEvent(&buf, event)
			from = event.Index + 1
		}
		if phase == phaseFinished {
			buf.WriteString("data: [DONE]\n\n")
		}
		if _, err := w.Write(buf.Bytes()); err != nil || control.Flush() != nil {
			return
		}
		e.markDelivered(s, from)
		switch phase {
		case phaseFinished:
			return
		case phaseCancelled:
			// Close the connection without the terminating chunk, so that the
			// client does not take the response for complete.
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvent(buf *bytes.Buffer, event backendapi.StreamEvent) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(err) // cannot happen: every value of the type can be encoded as JSON
	}
	fmt.Fprintf(buf, "id: %d\ndata: %s\n\n", event.Index, data)
}

func (e *Engine) getStatus(w http.ResponseWriter, r *http.Request) {
	status, reqErr := e.status(mux.Vars(r)["id"])
	if reqErr != nil {
		writeError(w, reqErr)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (e *Engine) deleteStream(w http.ResponseWriter, r *http.Request) {
	if reqErr := e.cancel(mux.Vars(r)["id"]); reqErr != nil {
		writeError(w, reqErr)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.load(time.Now()))
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			writeError(w, newRequestError(backendapi.CodeBadRequest, fmt.Sprintf("after %q is not a number", text)))
			return
		}
	}
	e.mu.Lock()
	events := e.events.after(time.Now(), after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, backendapi.CacheEvents{Incarnation: e.cfg.Incarnation, Events: events})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o backendapi.Order
	if !readJSON(w, r, &o) {
		return
	}
	state, reqErr := e.order(time.Now(), o)
	if reqErr != nil {
		writeError(w, reqErr)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.placement.completeLoads(time.Now())
	state := e.state()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}
