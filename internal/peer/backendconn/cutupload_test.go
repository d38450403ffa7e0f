package backendconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/yuccahatch/yuccahatch/internal/connreset/resettest"
)

// cutTries is how often a response is cut off. Whether the write or the read takes the error of
// the connection is a matter of chance.
const cutTries = 20

// Guards against taking a part of a response for a whole one because its server has reset the
// connection while the request was still being written, with each of the ways in which a
// response tells its end, and against taking a whole one for a part because its server has not
// read the request to its end.
func TestResponseCutDuringUpload(t *testing.T) {
	const size = 1500
	part := strings.Repeat("x", size)
	for name, c := range map[string]struct {
		head, body string
		whole      bool // the server ends the response in order
	}{
		"no length, reset":   {"", part, false},
		"length, reset":      {fmt.Sprintf("Content-Length: %d\r\n", size+1), part, false},
		"chunks, reset":      {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", size, part), false},
		"no length, whole":   {"", part, true},
		"length, whole":      {fmt.Sprintf("Content-Length: %d\r\n", size), part, true},
		"chunks, whole":      {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, part), true},
		"no length, no body": {"", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			listener := resettest.Listen(t)
			go resettest.ServeEarly(listener, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n"+c.body, c.whole)
			pool := NewPool(resettest.Dial)
			server := Server{ID: "s", Address: listener.Addr().String()}
			for range cutTries {
				conn, err := pool.Dial(t.Context(), server)
				if err != nil {
					t.Fatal(err)
				}
				read, err := exchangeLong(t.Context(), conn)
				if whole := err == nil; whole != c.whole || whole && read != len(c.body) && c.head == "" {
					t.Fatalf("%d bytes, error %v", read, err)
				}
				pool.Close(conn)
			}
		})
	}
}

// exchangeLong sends a request that the buffers cannot hold and reads its response.
func exchangeLong(ctx context.Context, c *Conn) (read int, err error) {
	response, err := c.Exchange(ctx, &Request{
		Method: http.MethodPost, Target: "/", Host: "s", Header: http.Header{}, Body: make([]byte, resettest.LongRequest),
		Matches: func(http.Header) bool { return true },
	})
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(response.Body)
	return len(body), err
}
