package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// panickingCodec is a Codec that panics when it decodes a request.
type panickingCodec struct{ Codec }

func (panickingCodec) Decode(*http.Request, time.Time) *Call { panic("unexpected") }

// Guards against closing the connection of a request without an answer and without a line
// in the log when serving it panics.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	var log bytes.Buffer
	g := &Gateway{
		Codec: panickingCodec{}, Leaving: func() bool { return false },
		Log: telemetry.NewEventLog(telemetry.NewLogger(&log, "info", "h", "d")),
	}
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	if recorder.Code != http.StatusBadGateway {
		t.Errorf("status %d, want 502", recorder.Code)
	}
	if g.Log.Flush(); !strings.Contains(log.String(), "unexpected") {
		t.Errorf("the panic is not logged: %q", log.String())
	}
}

// Guards against an answer that looks complete after serving it panicked in the middle.
func TestPanicAbortsBegunAnswer(t *testing.T) {
	g := &Gateway{Log: telemetry.NewEventLog(telemetry.NewLogger(&bytes.Buffer{}, "info", "h", "d"))}
	defer func() {
		if v := recover(); v != http.ErrAbortHandler {
			t.Errorf("recovered %v, want %v", v, http.ErrAbortHandler)
		}
	}()
	w := &answerWriter{ResponseWriter: httptest.NewRecorder()}
	defer g.answerPanic(w)
	w.WriteHeader(http.StatusOK)
	panic("unexpected")
}
