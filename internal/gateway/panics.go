package gateway

import (
	"fmt"
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
