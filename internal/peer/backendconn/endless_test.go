package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/heaptest"
)

// maxEndlessMemory is half of the memory of the smallest hosts, in bytes. The rest of the
// process needs the other half.
const maxEndlessMemory = heaptest.SmallestHost / 2

// requestTime is the time after the first bytes at which a request of these tests is given up.
const requestTime = 300 * time.Millisecond

// readEndless sends a request and reads its response until it ends or requestTime is
// over.
func readEndless(p *Pool, s Server) (head string, err error) {
	c, err := p.Get(context.Background(), s, "r", time.Minute)
	for CodeOf(err) == CodeConnect { // the machine is busy
		c, err = p.Get(context.Background(), s, "r", time.Minute)
	}
	if err != nil {
		return "", err
	}
	defer p.Close(c)
	var end time.Time // zero until the first bytes arrive
	response, err := c.Exchange(context.Background(), &Request{
		Method: "GET", Target: "/", Host: "h", Matches: hasMatchingID,
		OnRead: func(now time.Time) {
			if end.IsZero() {
				end = now.Add(requestTime)
			}
		},
		Watch: func(now time.Time, idle time.Duration) error {
			if !end.IsZero() && now.After(end) {
				return NewSilentError(idle, "out of time")
			}
			return nil
		},
	})
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", c.BodyError(err)
	}
	return response.Status, nil
}

// endlessAnswers are the ways in which a server may send bytes without end. Each writes
// until the client closes the connection.
var endlessAnswers = []struct {
	name  string
	head  string // sent once
	piece string // repeated
}{
	{"status line", "HTTP/1.1 200 ", "OK "},
	{"header line", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Y: abcdefghij\r\n"},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"responses to others", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	{"response to another without length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	{"chunk size line", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n1;", "aaaaaaaa"},
	{"tiny chunks with extensions", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("a", 2000) + "\r\nx\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: abcdefghij\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	{"no protocol at all", "", "zzzzzzzzzzzzzzzz"},
}

// sendEndlessly sends a server's bytes until the connection fails.
func sendEndlessly(conn net.Conn, head, piece string) {
	_, err := io.WriteString(conn, head)
	// io.WriteString would copy the block for each write: 4 KiB of garbage of the test's own.
	block := []byte(strings.Repeat(piece, 1+4096/len(piece)))
	for err == nil {
		_, err = conn.Write(block)
	}
}

// Guards against a server that sends bytes without end, which would hold the request
// and fill the memory: each such exchange ends with an error within the request's own
// time, the connection is closed, and little memory is in use meanwhile.
func TestEndlessAnswers(t *testing.T) {
	const connections = 200
	previous := debug.SetMemoryLimit(heaptest.SmallestHost * 6 / 10) // as on the smallest host
	t.Cleanup(func() { debug.SetMemoryLimit(previous) })
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			var open, reached atomic.Int64 // connections on which the server sends, and has sent
			s := serve(t, func(conn net.Conn, _ *http.Request) {
				reached.Add(1)
				open.Add(1)
				defer open.Add(-1)
				sendEndlessly(conn, test.head, test.piece)
			})
			p := NewPool(nil)
			peak := heaptest.PeakGrowth(func() {
				var wg sync.WaitGroup
				for range connections {
					wg.Go(func() {
						if body, err := readEndless(p, s); err == nil {
							t.Errorf("answer %.40q taken as complete", body)
						}
					})
				}
				wg.Wait()
			})
			for open.Load() > 0 { // ends only if all connections are closed
				time.Sleep(time.Millisecond)
			}
			if n := reached.Load(); n < connections {
				t.Errorf("only %d connections were opened", n)
			}
			if peak > maxEndlessMemory {
				t.Errorf("%d MiB in use with %d connections", peak>>20, connections)
			}
		})
	}
}
