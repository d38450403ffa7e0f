package backend

import (
	"bufio"
	"io"
	"net"
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
			go serveEarly(listener, answer, whole)
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

// serveEarly answers calls before it has read their bodies, and then ends the answer in order or
// resets the connection.
func serveEarly(listener net.Listener, answer string, whole bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReaderSize(conn, resettest.Buffer)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer) // an error shows in the test
			if !whole {
				resettest.Reset(conn)
				return
			}
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn) // reads on until the client closes the connection
		}()
	}
}
