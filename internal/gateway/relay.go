package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
)

// A host without a path to the servers of a service sends the requests for it through a
// host that has one. That host does all that is left to do: it chooses servers, repeats and
// resumes, within the attempts and the time that are left.

const (
	// maxRelayTries is the maximum number of hosts through which one request is tried.
	maxRelayTries = 3
	// relayMaxIdle is the longest idle time after which a connection to a host is reused.
	relayMaxIdle = 2500 * time.Millisecond
	// relaySilence is the time without data after which a host that has stopped sending
	// heartbeats is given up.
	relaySilence = 300 * time.Millisecond
)

// RelayHost is a host through which requests are sent.
type RelayHost struct {
	Host    ident.HostID
	Address string
}

// Relays chooses hosts through which requests are sent.
type Relays interface {
	// Choose returns a host that has a path to the servers of a service, and counts the
	// request that is sent through it until End.
	Choose(service string, except []ident.HostID) (RelayHost, bool)
	End(RelayHost)
	// Alive reports whether a host has sent heartbeats lately.
	Alive(ident.HostID) bool
	// Owner returns the host through which all requests with a key go that must not run at the
	// same time, and counts the request until End. self reports that it is this host. ok is
	// false if no host has a path to the servers of the service.
	Owner(service, key string) (host RelayHost, self, ok bool)
	// Available reports whether there is a host that Choose could return.
	Available(service string) bool
}

// useRelay reports whether the request is to go through another host now.
func (e *exchange) useRelay() bool {
	return e.relayed == nil && e.g.Paths.Lost(e.service.Name) && len(e.relayTries) < maxRelayTries
}

// canRelay reports whether the request may go through another host now.
func (e *exchange) canRelay() bool { return e.useRelay() && e.g.Relays.Available(e.service.Name) }

// chooseRelay returns the host through which the request goes next. The caller must call
// Relays.End.
func (e *exchange) chooseRelay() (RelayHost, bool) {
	if !e.useRelay() {
		return RelayHost{}, false
	}
	host, ok := e.g.Relays.Choose(e.service.Name, e.relayTries)
	if ok {
		e.relayTries = append(e.relayTries, host.Host)
	}
	return host, ok
}

// relayHead returns the description of the request for the host through which it goes.
func (e *exchange) relayHead(now time.Time) *relayHead {
	h := &relayHead{
		Call: *e.call, Route: *e.route, Service: *e.service, Team: e.team,
		TimeLeft: e.timeLeft(now), Sent: e.sentCount, RetryTaken: e.retryReserved, Excluded: e.exclude,
	}
	h.Call.Body, h.Call.Key = nil, ""
	h.Route.Shares = nil
	if e.call.Timeout > 0 {
		h.ClientTimeLeft = max(e.call.Timeout-now.Sub(e.started), time.Millisecond)
	}
	return h
}

// sendThrough sends the request through a host and returns the head of the answer. An error
// with CodeConnect means that nothing was sent.
func (e *exchange) sendThrough(host RelayHost, h *relayHead) (c *backendconn.Conn, response *http.Response, err error) {
	head, err := json.Marshal(h)
	if err != nil {
		return nil, nil, err
	}
	send := e.beginSend("host " + string(host.Host))
	c, err = connect(e.ctx, e.g.RelayPool, host.server(), e.call.ID, relayMaxIdle, unlimited)
	if err != nil {
		e.endSend(send, sendNotSent, 0, nil)
		return nil, nil, err
	}
	response, err = c.Exchange(e.ctx, &backendconn.Request{
		ID: e.call.ID, Method: http.MethodPost, Target: RelayPath, Host: host.Address, BodyHead: head, Body: e.call.Body,
		Header:  http.Header{headerHeadLength: {strconv.Itoa(len(head))}},
		Matches: func(http.Header) bool { return true },
		Watch: func(now time.Time, idle time.Duration) error {
			switch {
			case e.timeLeft(now) <= -relayGrace:
				return errDeadline
			case idle > relaySilence && !e.g.Relays.Alive(host.Host):
				return backendconn.NewSilentError(idle, "the host does not answer")
			}
			return nil
		},
	})
	if err != nil {
		e.endSend(send, sendUnknown, 0, c)
		e.g.RelayPool.Close(c)
		return nil, nil, err
	}
	e.endSend(send, relayAnswerOf(response).sendOutcome(), response.StatusCode, c)
	return c, response, nil
}

// relayGrace is the time after the deadline for which the answer of the second host is
// awaited, which ends the request at its deadline itself.
const relayGrace = 50 * time.Millisecond

func (h RelayHost) server() backendconn.Server {
	return backendconn.Server{ID: ident.BackendID(h.Host), Address: h.Address}
}

// serveThroughRelay serves a call through another host. It returns false if the call did
// not run and may still be served otherwise.
func (e *exchange) serveThroughRelay() bool {
	e.awaitCheck()
	for {
		host, ok := e.chooseRelay()
		if !ok {
			return false
		}
		served := e.callThrough(host)
		e.g.Relays.End(host)
		if served {
			return true
		}
	}
}

// callThrough makes one attempt to serve a call through a host. It returns false if the
// host did not accept the call.
func (e *exchange) callThrough(host RelayHost) bool {
	c, response, err := e.sendThrough(host, e.relayHead(time.Now()))
	if err != nil {
		return e.relayCallFailed(host, err)
	}
	switch relayAnswerOf(response) {
	case relayNotAccepted:
		e.endRelayRefusal(host, c, response)
		return false
	case relayNotRun:
		r := relayRefusalOf(response)
		e.endRelayRefusal(host, c, response)
		e.fail(r.reason, r.retryAfter)
		return true
	case relayUnknown:
		e.sentCount++
		e.g.RelayPool.Close(c)
		e.g.Metrics.relayed("sent", "failed")
		e.fail("the call failed at the host through which it was sent", 0)
		return true
	}
	e.sentCount++
	e.addStep("through %s", host.Host)
	if e.onlyOnce() && statesNotRun(response.StatusCode) { // from a host of a build that passes it on
		e.g.RelayPool.Close(c)
		e.g.Metrics.relayed("sent", "failed")
		e.fail(reasonUnstated, 0)
		return true
	}
	e.passRelayedAnswer(host, c, response)
	return true
}

// relayCallFailed handles a call for which the second host gave no answer.
func (e *exchange) relayCallFailed(host RelayHost, err error) bool {
	e.addStep("through %s: %v", host.Host, err)
	e.g.Metrics.relayed("sent", "failed")
	if e.clientGone() {
		e.recordOutcome(outcomeClientGone, 0, "")
		return true
	}
	if backendconn.CodeOf(err) == backendconn.CodeConnect {
		return false
	}
	e.sentCount++
	e.fail("the outcome of the call is unknown", 0)
	return true
}

// endRelayRefusal reads the rest of a refusal, so that the connection can be reused.
func (e *exchange) endRelayRefusal(host RelayHost, c *backendconn.Conn, response *http.Response) {
	e.addStep("refused by %s", host.Host)
	e.g.Metrics.relayed("sent", "refused")
	putAfterRefusal(e.g.RelayPool, host.server(), c, response)
}

// passRelayedAnswer passes an answer on to the client as it arrives. An answer that ends
// early aborts the client's connection, so that it does not look complete.
func (e *exchange) passRelayedAnswer(host RelayHost, c *backendconn.Conn, response *http.Response) {
	passHead(e.w, response.Header)
	if response.ContentLength >= 0 {
		e.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	e.w.WriteHeader(response.StatusCode)
	// The writer alone, since its ReadFrom method uses a larger buffer.
	if _, err := io.CopyBuffer(struct{ io.Writer }{e.w}, response.Body, make([]byte, copyBuffer)); err != nil {
		e.g.RelayPool.Close(c)
		e.g.Metrics.relayed("sent", "failed")
		e.recordOutcome("broken", 0, c.BodyError(err).Error())
		panic(http.ErrAbortHandler)
	}
	e.g.RelayPool.Put(host.server(), c, response)
	e.g.Metrics.relayed("sent", "answered")
	outcome := "served"
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = "failed"
	}
	e.recordOutcome(outcome, response.StatusCode, "")
}

// runThrough makes one attempt to serve a stream through another host, from the last event
// that the client has. It returns a refusal if the other host has refused the stream.
func (st *streamState) runThrough(host RelayHost) (result, *refusal) {
	defer st.g.Relays.End(host)
	if st.check.engine != nil { // out of reach; the other host chooses another engine
		st.check.engine = nil
		st.losses++
		if st.attemptsLeft() <= 0 {
			return 0, &refusal{refusalEnginesFailed, retryAfter(noEngineRetryAfter)}
		}
	}
	h := st.relayHead(time.Now())
	h.Call.After, h.Version, h.Losses, h.Begun = st.continueAfter(), st.version, st.losses, st.headSent
	if c := st.lostCopy; c != nil {
		h.Copy = &relayedCopy{Holder: c.holder.ID, Source: c.source, Name: c.name}
	}
	c, response, err := st.sendThrough(host, h)
	if err != nil {
		return st.relayLost(host, err, false), nil
	}
	answer := relayAnswerOf(response)
	switch answer {
	case relayNotAccepted:
		st.endRelayRefusal(host, c, response)
		return resultNotRelayed, nil
	case relayNotRun:
		st.endRelayRefusal(host, c, response)
		return 0, relayRefusalOf(response)
	}
	st.lostCopy, st.retryReserved = nil, false
	st.sentCount++
	if answer == relayUnknown || response.StatusCode != http.StatusOK {
		return st.relayAnsweredFailure(host, c, response), nil
	}
	st.addStep("through %s after=%d", host.Host, h.Call.After)
	return st.forwardRelayed(host, c, response), nil
}

// relayLost handles an attempt through another host that ended without a complete answer.
// counted reports whether it has been counted as one that may have run.
func (st *streamState) relayLost(host RelayHost, err error, counted bool) result {
	st.addStep("through %s: %v", host.Host, err)
	st.g.Metrics.relayed("sent", "failed")
	switch {
	case backendconn.CodeOf(err) == backendconn.CodeConnect:
		return resultNotRelayed
	case !counted:
		st.sentCount++
	}
	if st.clientGone() || errors.Is(err, errDeadline) {
		return resultAborted
	}
	if st.lostAt.IsZero() {
		st.lostAt = time.Now()
	}
	return resultFailed
}

// relayAnsweredFailure handles the answer of a server other than a stream, which is passed
// on, and the failure of the second host, which has used the attempts that were left.
func (st *streamState) relayAnsweredFailure(host RelayHost, c *backendconn.Conn, response *http.Response) result {
	st.addStep("status %d through %s", response.StatusCode, host.Host)
	st.losses = maxLosses
	body, err := readAnswerBody(response.Body)
	if err != nil {
		st.g.RelayPool.Close(c)
		return resultFailed
	}
	st.g.RelayPool.Put(host.server(), c, response)
	if relayAnswerOf(response) == relayAnswered && !(st.onlyOnce() && statesNotRun(response.StatusCode)) {
		st.lastFailure = &bufferedAnswer{response.StatusCode, response.Header, body}
	}
	return resultFailed
}

// forwardRelayed passes the events of a stream that goes through another host on to the
// client as they arrive.
func (st *streamState) forwardRelayed(host RelayHost, c *backendconn.Conn, response *http.Response) result {
	watch := &streamWatch{g: st.g, st: st, started: time.Now()}
	begin := func() {
		st.adoptVersion(response.Header.Get(headerRelayVersion))
		st.resumeMode = resumeFromPrompt
		st.recordFirstDelivery(time.Now(), ident.BackendID(host.Host), watch)
	}
	var events eventReader
	buf := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			events.add(buf[:n])
			if r, ok := st.deliver(&events, response.Header, ident.BackendID(host.Host), begin, watch); !ok {
				st.g.RelayPool.Close(c)
				return r
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && !events.partial():
			r := st.endOfAnswer(ident.BackendID(host.Host), response.Header, watch, response.Header.Get(headerRelayed) == relayConfirmed)
			st.g.RelayPool.Put(host.server(), c, response)
			st.g.Metrics.relayed("sent", "answered")
			return r
		}
		st.g.RelayPool.Close(c)
		return st.relayLost(host, c.BodyError(err), true)
	}
}

// adoptVersion records the version that began the stream at a server that another host
// chose. That host has told the others.
func (st *streamState) adoptVersion(version string) {
	if st.version != "" || version == "" || !st.route.Resumable {
		return
	}
	st.version = version
	if version == streamversion.Unknown {
		return // the other host has told which server began the stream
	}
	st.g.Versions.Began(time.Now(), streamversion.Record{Key: st.streamKey(), Version: version})
}
