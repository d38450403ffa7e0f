package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// relayAnswer is what the second host says of the request in the head of its answer.
type relayAnswer int

const (
	relayAnswered    relayAnswer = iota // a server's answer follows
	relayNotAccepted                    // another host may accept the request
	relayNotRun                         // the request did not run and will not
	relayUnknown                        // a server may have run the request
)

func relayAnswerOf(response *http.Response) relayAnswer {
	if response.Header.Get(headerRelayed) == "" {
		if response.StatusCode == http.StatusNotFound {
			return relayNotAccepted // a node of a version that accepts no requests of others
		}
		return relayUnknown
	}
	switch response.Header.Get(headerRelayOutcome) {
	case "":
		return relayAnswered
	case relayUnavailable:
		return relayNotAccepted
	case relayRefused:
		return relayNotRun
	}
	return relayUnknown
}

// sendOutcome returns what is known of a request that the second host answered so.
func (a relayAnswer) sendOutcome() sendOutcome {
	switch a {
	case relayNotAccepted, relayNotRun:
		return sendRefused
	case relayUnknown:
		return sendUnknown
	}
	return sendAnswered
}

// relayRefusalOf returns the refusal in an answer of the second host.
func relayRefusalOf(response *http.Response) *refusal {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRelayedRetryAfter.Seconds()) {
		seconds = 0
	}
	return &refusal{"refused by the host through which it was sent", time.Duration(seconds * float64(time.Second))}
}

// maxRelayedRetryAfter is the longest Retry-After that is taken over from another host.
const maxRelayedRetryAfter = time.Hour
