package caller

import (
	"net/http"
	"time"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// overloadedRetry is when a caller that met the limit may come back.
const overloadedRetry = 500 * time.Millisecond

// limitRequests answers requests beyond the limit at once. A limit on accepted
// connections would let callers wait in the kernel's queue without an answer.
func limitRequests(limit int, next http.Handler) http.Handler {
	slots := make(chan struct{}, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			refuse(w, r, &Failure{
				Code:       callerapi.CodeOverloaded,
				Message:    "the node serves as many requests as it may",
				RetryAfter: overloadedRetry,
			})
			return
		}
		defer func() { <-slots }()
		next.ServeHTTP(w, r)
	})
}
