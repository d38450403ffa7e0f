package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/routing"
)

// RelayPath is the HTTP path at which a node accepts the requests that other nodes relay.
const RelayPath = "/relay"

// Headers between nodes. They are never sent to clients or backend servers.
const (
	// headerHeadLength is the length in bytes of the relayHead at the start of the body.
	headerHeadLength = "Relay-Head-Length"
	// headerRelayed marks each answer of a node that has accepted a relayed request.
	headerRelayed = "Relay-Accepted"
	// headerRelayOutcome is set if the answer is the node's own and not a server's.
	headerRelayOutcome = "Relay-Outcome"
	// headerRelayVersion is the software version that began the stream.
	headerRelayVersion = "Relay-Stream-Version"
)

// Values of headerRelayed.
const (
	relayAccepted = "1"
	// relayConfirmed: the answer has no event, and the stream is complete. A host of an older
	// build does not say so.
	relayConfirmed = "confirmed"
)

// Values of headerRelayOutcome.
const (
	// relayUnavailable: the node does not accept the request; another one may.
	relayUnavailable = "unavailable"
	// relayRefused: the request did not run at this node and will not.
	relayRefused = "refused"
	// relayFailed: a server may have run the request.
	relayFailed = "failed"
)

var relayHeaders = []string{headerRelayed, headerRelayOutcome, headerRelayVersion}

// maxRelayHead is the maximum size in bytes of a relayHead. It is above the maximum size of
// the header of a client's request.
const maxRelayHead = 256 << 10

// relayHead describes a request that one node sends through another. The node at which it
// arrived has checked its key and chosen its route and service, by its own configuration.
type relayHead struct {
	Call    Call            `json:"call"` // without Body and Key
	Route   routing.Route   `json:"route"`
	Service routing.Service `json:"service"`
	Team    string          `json:"team,omitempty"`
	// TimeLeft is the time until the deadline of the request, and ClientTimeLeft that until
	// the client gives up; 0 if the client did not say.
	TimeLeft       time.Duration `json:"time_left"`
	ClientTimeLeft time.Duration `json:"client_time_left,omitempty"`
	// Sent is the number of attempts that may have run, and Losses the number of servers
	// that have failed the request.
	Sent   int `json:"sent,omitempty"`
	Losses int `json:"losses,omitempty"`
	// RetryTaken reports that the next attempt has been counted against the retry budget.
	RetryTaken bool `json:"retry_taken,omitempty"`
	// Begun reports that the client has received a part of the answer.
	Begun bool `json:"begun,omitempty"`
	// Version is the software version that began the stream; empty if that is not known.
	Version string `json:"version,omitempty"`
	// Copy is the copy from which the stream is to resume.
	Copy *relayedCopy `json:"copy,omitempty"`
	// Excluded lists the servers that have failed the request.
	Excluded []ident.BackendID `json:"excluded,omitempty"`
}

// relayedCopy is a runCopy as sent to another node.
type relayedCopy struct {
	Holder ident.BackendID `json:"holder"`
	Source string          `json:"source"`
	Name   string          `json:"name"`
}

// decodeRelayed reads a relayed request with a body of at most maxBody bytes into body. It
// returns a status other than 0 if the request must be refused.
func decodeRelayed(r *http.Request, body *heldBody, maxBody int64) (h *relayHead, status int) {
	length, err := strconv.Atoi(r.Header.Get(headerHeadLength))
	if err != nil || length <= 0 || length > maxRelayHead || r.ContentLength < int64(length) || r.ContentLength > int64(length)+maxBody {
		return nil, http.StatusBadRequest
	}
	if status := body.read(r, r.ContentLength); status != 0 {
		return nil, status
	}
	h = &relayHead{}
	if err := json.Unmarshal(body.bytes[:length], h); err != nil {
		return nil, http.StatusBadRequest
	}
	h.Call.Body = body.bytes[length:]
	return h, 0
}
