package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// recoverPanic is deferred by goroutines that work for one request only. The package
// net/http does the same for the goroutines in which it calls handlers.
func (g *Gateway) recoverPanic(work string) {
	if v := recover(); v != nil {
		g.logPanic(work, v)
	}
}

func (g *Gateway) logPanic(work string, v any) {
	g.Log.Log(logrus.ErrorLevel, telemetry.EventPanic, logrus.Fields{"work": work, "error": fmt.Sprint(v), "stack": string(debug.Stack())}, "unexpected error, work given up")
}

// answerWriter is the writer of an answer that knows whether the answer has begun.
type answerWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap is used by http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerPanic is deferred while a request is served. After a panic, net/http would close
// the connection without an answer and without a line in the log. answerPanic logs the
// panic and answers 502, since a server may have run the request. An answer that has begun
// is aborted.
func (g *Gateway) answerPanic(w *answerWriter) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	g.logPanic("request", v)
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	if g.Leaving() {
		w.Header().Set("Connection", "close")
	}
	writeRefusal(w, http.StatusBadGateway, 0, "internal error")
}
