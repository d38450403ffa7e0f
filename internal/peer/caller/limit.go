package caller

import (
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// overloadRetryAfter is the Retry-After of a request rejected by the limit.
const overloadRetryAfter = 500 * time.Millisecond

// limitRequests passes at most limit concurrent requests to next and rejects the
// others immediately. A limit on accepted connections would instead leave
// callers waiting in the kernel's accept queue without a response.
func limitRequests(limit int, next http.Handler) http.Handler {
	slots := make(chan struct{}, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			writeRejection(w, r, &Failure{
				Code:       callerapi.CodeOverloaded,
				Message:    "the node serves as many requests as it may",
				RetryAfter: overloadRetryAfter,
			})
			return
		}
		defer func() { <-slots }()
		next.ServeHTTP(w, r)
	})
}
