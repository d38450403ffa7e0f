package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/explain"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// observer records the events of requests as metrics, log entries and decisions
// for explanations.
type observer struct {
	events  *telemetry.EventLog
	explain *explain.Store
	scope   tally.Scope

	discarded   tally.Counter
	recomputed  tally.Counter
	attempts    tally.Counter
	resumes     tally.Counter
	sameStream  tally.Counter
	newAttempt  tally.Counter
	resumeTime  tally.Histogram
	firstToken  tally.Histogram
	unprotected tally.Counter
	accepted    tally.Counter
}

var _ generation.Observer = (*observer)(nil)

func newObserver(events *telemetry.EventLog, store *explain.Store, scope tally.Scope) *observer {
	return &observer{
		events:      events,
		explain:     store,
		scope:       scope,
		discarded:   telemetry.TokensDiscarded.Counter(scope, "not_current"),
		recomputed:  telemetry.TokensRecomputed.Counter(scope, "prompt"),
		attempts:    telemetry.AttemptsTotal.Counter(scope, "new"),
		resumes:     telemetry.AttemptsTotal.Counter(scope, "resume"),
		sameStream:  telemetry.ResumesTotal.Counter(scope, "same_stream"),
		newAttempt:  telemetry.ResumesTotal.Counter(scope, "new_attempt"),
		resumeTime:  telemetry.ResumeSeconds.Histogram(scope),
		firstToken:  telemetry.FirstTokenSeconds.Histogram(scope),
		unprotected: telemetry.CopiesUnprotected.Counter(scope),
		accepted:    telemetry.TokensAccepted.Counter(scope),
	}
}

// Decision implements generation.Observer.
func (o *observer) Decision(request *generation.Request, event, detail string) {
	o.explain.Add(time.Now(), request.Team, request.Request, event, detail)
	if event == "lost" {
		o.events.Log(logrus.WarnLevel, telemetry.EventAttemptLost, fieldsOf(request), detail)
	}
}

// PromptProcessed implements generation.Observer.
func (o *observer) PromptProcessed(_ *generation.Request, resume bool, promptTokens, cachedTokens int) {
	if !resume {
		o.attempts.Inc(1)
		return
	}
	o.resumes.Inc(1)
	o.recomputed.Inc(int64(promptTokens - cachedTokens))
}

// TokenDiscarded implements generation.Observer.
func (o *observer) TokenDiscarded(*generation.Request) { o.discarded.Inc(1) }

// Resumed implements generation.Observer.
func (o *observer) Resumed(request *generation.Request, latency time.Duration, sameStream bool) {
	if sameStream {
		o.sameStream.Inc(1)
	} else {
		o.newAttempt.Inc(1)
	}
	o.resumeTime.RecordDuration(latency)
	o.events.Log(logrus.InfoLevel, telemetry.EventAttemptResumed, fieldsOf(request),
		fmt.Sprintf("answer continued after %d ms, same stream: %t", latency.Milliseconds(), sameStream))
}

// FirstToken implements generation.Observer.
func (o *observer) FirstToken(_ *generation.Request, latency time.Duration) {
	o.firstToken.RecordDuration(latency)
}

// ReplicaUnavailable implements generation.Observer.
func (o *observer) ReplicaUnavailable(*generation.Request) { o.unprotected.Inc(1) }

// recordTakeover records that this node continues an answer that another node
// began.
func (o *observer) recordTakeover(request *generation.Request, cur cursor.Cursor, start generation.StartState) {
	detail := fmt.Sprintf("continued from host %s at token %d with a journal of %d tokens", cur.Owner, cur.Tokens, start.Journal.Len())
	o.explain.Add(time.Now(), request.Team, request.Request, "taken_over", detail)
	o.events.Log(logrus.InfoLevel, telemetry.EventTakeover, fieldsOf(request), detail)
}

// recordEnd records the result of a generation.
func (o *observer) recordEnd(request *generation.Request, result generation.Result, err error) {
	o.accepted.Inc(int64(result.Tokens))
	outcome := "finished"
	switch {
	case err != nil:
		outcome = "failed"
		if !result.Opened {
			outcome = "refused"
			telemetry.Refused.Counter(o.scope, failureCode(err)).Inc(1)
		}
		o.events.LogError(logrus.WarnLevel, telemetry.EventGenerationFailed, err, fieldsOf(request), "generation failed")
	case result.CallerGone:
		outcome = "caller_gone"
	}
	telemetry.RequestsTotal.Counter(o.scope, string(request.Team), outcome).Inc(1)
}

// recordRefusal records a request that was refused before it ran.
func (n *Node) recordRefusal(access caller.Access, request ident.RequestID, err error) {
	telemetry.Refused.Counter(n.observer.scope, failureCode(err)).Inc(1)
	n.observer.explain.Add(time.Now(), access.Team, request, "refused", err.Error())
}

// failureCode returns the public code of an error, CodeInternal if it has none.
func failureCode(err error) string {
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return string(failure.Code)
	}
	return string(callerapi.CodeInternal)
}

func fieldsOf(request *generation.Request) logrus.Fields {
	return logrus.Fields{
		telemetry.FieldRequest:    request.Request,
		telemetry.FieldGeneration: request.Generation,
		telemetry.FieldTeam:       request.Team,
	}
}
