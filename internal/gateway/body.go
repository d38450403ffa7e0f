package gateway

import (
	"io"
	"net/http"
	"time"
)

// writeSlack is how long after its deadline a request may still be answered.
const writeSlack = 5 * time.Second

// setWriteDeadline bounds the time for writing the answer of this request to a client
// that does not read it. It is set for every request, since it holds for all later ones
// of the connection.
func setWriteDeadline(control *http.ResponseController, at time.Time) {
	_ = control.SetWriteDeadline(at) // fails only if the client has disconnected
}

// minBodyTime is the least time that a client has for sending the body of a request.
const minBodyTime = time.Second

// readWithin reads a body with a deadline. The deadline is removed afterwards, since
// the connection is read on to notice that the client disconnects. It returns a status other
// than 0 if the request must be refused for its body.
func (h *heldBody) readWithin(control *http.ResponseController, r *http.Request, limit int64, deadline time.Time) (status int) {
	if r.Body == http.NoBody {
		return 0
	}
	_ = control.SetReadDeadline(deadline) // fails only if the client has disconnected
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	status = h.read(r, limit)
	if status == http.StatusServiceUnavailable {
		// A client that still writes when the connection ends may not see the refusal.
		_, _ = io.CopyN(io.Discard, r.Body, max(limit, defaultBodyBytes)) // ends with the body
	}
	return status
}

// defaultBodyBytes is the maximum size of a request's body if the configuration sets none.
const defaultBodyBytes = 1 << 20
