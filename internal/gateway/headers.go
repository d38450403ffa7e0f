package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields, including
// those that its Connection field lists.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// passHead copies the end-to-end headers of a server's answer to the answer for
// the client. What only nodes may say to each other is not taken from a server.
func passHead(w http.ResponseWriter, h http.Header) {
	out := w.Header()
	for name, values := range EndToEnd(h) {
		if !slices.Contains(relayHeaders, name) {
			out[name] = values
		}
	}
	if out["Content-Type"] == nil {
		out["Content-Type"] = nil // keeps net/http from guessing a type
	}
}
