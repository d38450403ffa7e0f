package backend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/connreset/resettest"
)

// cutTries is how often an answer is cut off. Whether the write or the read takes the error of
// the connection is a matter of chance.
const cutTries = 20

// Guards against passing on a part of an answer without length as a whole one because the
// service has reset the connection while the call was still being written.
func TestAnswerOfServiceCutDuringCall(t *testing.T) {
	for name, whole := range map[string]bool{"reset": false, "orderly end": true} {
		t.Run(name, func(t *testing.T) {
			listener := resettest.Listen(t)
			answer := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1500)
			go resettest.ServeEarly(listener, answer, whole)
			client := newClient(resettest.Dial)
			for range cutTries {
				response, err := client.Do(t.Context(), "http://"+listener.Addr().String(), Call{Method: http.MethodPost, Path: "/", Body: make([]byte, resettest.LongRequest)})
				if (err == nil) != whole || whole && len(response.Body) != 1500 {
					t.Fatalf("status %d, %d bytes, error %v", response.Status, len(response.Body), err)
				}
			}
		})
	}
}
