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

// maxBody bounds a request body in bytes.
const maxBody = 16 << 20

// RouteAdminSilence (POST) makes all open streams' connections silent. Real
// engines do not have it.
const RouteAdminSilence = "/admin/silence"

// refusal is a request that the engine does not carry out.
type refusal struct {
	status int
	detail backendapi.ErrorDetail
}

var statusOf = map[string]int{
	backendapi.CodeUnknownStream: http.StatusNotFound,
	backendapi.CodeUnknownModel:  http.StatusNotFound,
	backendapi.CodeStaleFencing:  http.StatusConflict,
	backendapi.CodeBadRequest:    http.StatusBadRequest,
	backendapi.CodeOverloaded:    http.StatusServiceUnavailable,
	backendapi.CodeLeaving:       http.StatusServiceUnavailable,
}

func refuse(code, message string) *refusal {
	return &refusal{status: statusOf[code], detail: backendapi.ErrorDetail{Code: code, Message: message}}
}

func unknownStream(id string) *refusal {
	return refuse(backendapi.CodeUnknownStream, fmt.Sprintf("stream %q does not exist or is no longer kept", id))
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
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the client is gone
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeJSON(w, r.status, backendapi.Error{Error: r.detail})
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into); err != nil {
		writeRefusal(w, refuse(backendapi.CodeBadRequest, "body: "+err.Error()))
		return false
	}
	return true
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	var req backendapi.CompletionRequest
	if !readJSON(w, r, &req) {
		return
	}
	s, rd, refused := e.submit(time.Now(), req)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	e.serveStream(w, r, s, rd, s.first)
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	var last *int
	if text := r.Header.Get(backendapi.HeaderLastEventID); text != "" {
		index, err := strconv.Atoi(text)
		if err != nil {
			writeRefusal(w, refuse(backendapi.CodeBadRequest,
				fmt.Sprintf("%s %q is not a number", backendapi.HeaderLastEventID, text)))
			return
		}
		last = &index
	}
	s, rd, from, refused := e.resume(mux.Vars(r)["id"], last)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	e.serveStream(w, r, s, rd, from)
}

// serveStream writes events until the stream is over or the client is gone.
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
			// Closes the connection without the terminating chunk, so that the
			// reader does not take the answer for complete.
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvent(buf *bytes.Buffer, event backendapi.StreamEvent) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(err) // the type has no values that JSON cannot hold
	}
	fmt.Fprintf(buf, "id: %d\ndata: %s\n\n", event.Index, data)
}

func (e *Engine) getStatus(w http.ResponseWriter, r *http.Request) {
	status, refused := e.status(mux.Vars(r)["id"])
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (e *Engine) deleteStream(w http.ResponseWriter, r *http.Request) {
	if refused := e.cancel(mux.Vars(r)["id"]); refused != nil {
		writeRefusal(w, refused)
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
			writeRefusal(w, refuse(backendapi.CodeBadRequest, fmt.Sprintf("after %q is not a number", text)))
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
	state, refused := e.order(time.Now(), o)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.placement.step(time.Now())
	state := e.state()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}
