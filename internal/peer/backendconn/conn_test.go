package backendconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// serve starts a server that calls script for each request, after it has read the
// request's body. The script writes the response to conn.
func serve(t *testing.T, script func(conn net.Conn, request *http.Request)) Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					script(conn, request)
				}
			}()
		}
	}()
	return Server{ID: "s", Address: listener.Addr().String()}
}

const answer = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok"

func hasMatchingID(h http.Header) bool { return h.Get("Id") == "r" }

// exchange sends a request, with a new id if it has none.
func exchange(p *Pool, s Server, r *Request) (string, *Conn, error) {
	if r.ID == "" {
		r.ID = ident.NewRequestID()
	}
	c, err := p.Get(context.Background(), s, r.ID, time.Minute)
	if err != nil {
		return "", nil, err
	}
	if r.Matches == nil {
		r.Matches = hasMatchingID
	}
	response, err := c.Exchange(context.Background(), r)
	if err != nil {
		p.Close(c)
		return "", c, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		p.Close(c)
		return "", c, c.BodyError(err)
	}
	p.Put(s, c, response)
	return string(body), c, nil
}

// Guards against taking the response to another request, received before the
// expected one, for the response to this request.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"+answer)
	})
	body, _, err := exchange(NewPool(nil), s, &Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against sending a request on an idle connection that was closed or on
// which unexpected bytes wait: the outcome of the request would be unknown.
func TestIdleConnections(t *testing.T) {
	tests := []struct {
		name   string
		after  func(conn net.Conn)
		head   string
		reused bool
	}{
		{"open", func(net.Conn) {}, "", true},
		{"closed", func(conn net.Conn) { conn.Close() }, "", false},
		{"extra bytes", func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n") }, "", false},
		{"server closes", func(net.Conn) {}, "Connection: close\r\n", false},
		{"expired", func(net.Conn) {}, "Keep-Alive: timeout=0\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ready := make(chan struct{}, 4)
			s := serve(t, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, strings.Replace(answer, "Id:", test.head+"Id:", 1))
				test.after(conn)
				ready <- struct{}{}
			})
			p := NewPool(nil)
			if _, _, err := exchange(p, s, &Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
				t.Fatal(err)
			}
			<-ready
			if !test.reused {
				waitUntilUnusable(t, p, s)
			}
			_, c, err := exchange(p, s, &Request{Method: "GET", Target: "/", Host: "h"})
			if err != nil || c.Reused() != test.reused {
				t.Errorf("reused %t, error %v", c.Reused(), err)
			}
		})
	}
}

func anyConn(*Conn) bool { return true }

// waitUntilUnusable waits until the client side of the idle connection detects that
// it cannot be reused, for at most 1000 checks, 1 ms apart.
func waitUntilUnusable(t *testing.T, p *Pool, s Server) {
	t.Helper()
	c := p.pop(s, anyConn)
	if c == nil {
		return
	}
	for range 1000 {
		if !c.usable(time.Now()) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	p.push(s, c)
}

// Guards against error codes that do not show whether the server may have
// processed the request.
func TestErrorCodes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	watchErr := errors.New("no more time")
	tests := []struct {
		name   string
		server Server
		watch  Watch
		check  func(err error) bool
	}{
		{"nothing listens", Server{Address: closed.Addr().String()}, nil, func(err error) bool { return CodeOf(err) == CodeConnect }},
		{"closed without an answer", serve(t, func(conn net.Conn, _ *http.Request) { conn.Close() }), nil, func(err error) bool { return CodeOf(err) == CodeReceive }},
		{"cut off in the answer", serve(t, func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, answer[:len(answer)-1])
			conn.Close()
		}), nil, func(err error) bool { return CodeOf(err) == CodeReceive }},
		{"not an HTTP response", serve(t, func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "@@@@ not http\r\n\r\n")
		}), nil, func(err error) bool { return CodeOf(err) == CodeProtocol }},
		{"silent", serve(t, func(net.Conn, *http.Request) {}), func(_ time.Time, idle time.Duration) error {
			return NewSilentError(idle, "test")
		}, func(err error) bool { return CodeOf(err) == CodeSilent }},
		{"out of time", serve(t, func(net.Conn, *http.Request) {}), func(time.Time, time.Duration) error { return watchErr }, func(err error) bool { return errors.Is(err, watchErr) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := exchange(NewPool(nil), test.server, &Request{Method: "POST", Target: "/", Host: "h", Body: []byte("x"), Watch: test.watch})
			if !test.check(err) {
				t.Errorf("%v (code %s)", err, CodeOf(err))
			}
		})
	}
}

// Guards against reusing a connection on which the server answered before it had
// read a long body: the server would read the rest of the body as a request.
func TestEarlyAnswerEndsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer) // the body is never read
		}
	}()
	p := NewPool(nil)
	s := Server{ID: "s", Address: listener.Addr().String()}
	body, _, err := exchange(p, s, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 32<<20)})
	if err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	if c := p.pop(s, anyConn); c != nil {
		t.Error("the connection is kept")
	}
}

// Guards against keeping idle connections to servers that are no longer listed.
func TestRetain(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	p := NewPool(nil)
	if _, _, err := exchange(p, s, &Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	p.Retain(time.Now(), func(Server) bool { return false })
	if p.pop(s, anyConn) != nil {
		t.Error("a connection to a server that is no longer listed is kept")
	}
}

// Guards against a late copy of the response to a request that responses do not name, taken
// for the response to a later such request: the name of the copy of one run would be taken
// for that of another.
func TestLateCopyOfUnidentifiedAnswer(t *testing.T) {
	var latest sync.Map // response to the latest request, by connection
	s := serve(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/r" {
			_, _ = io.WriteString(conn, answer)
			return
		}
		if again, ok := latest.LoadAndDelete(conn); ok {
			_, _ = io.WriteString(conn, again.(string))
		}
		response := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.URL.Path[1:]
		latest.Store(conn, response)
		_, _ = io.WriteString(conn, response)
	})
	p := NewPool(nil)
	own := func(target string) (string, bool) {
		c, err := p.Get(context.Background(), s, "", time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		response, err := c.Exchange(context.Background(), &Request{
			Method: "GET", Target: target, Host: "h", Matches: func(http.Header) bool { return true },
		})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		p.Put(s, c, response)
		return string(body), c.Reused()
	}
	own("/1")
	if body, _ := own("/2"); body != "2" {
		t.Errorf("the second request got %q", body)
	}
	// The copy may also come after requests with an id, which do not wait for it.
	for range 2 {
		if _, c, err := exchange(p, s, &Request{Method: "GET", Target: "/r", Host: "h"}); err != nil || !c.Reused() {
			t.Fatalf("error %v", err)
		}
	}
	if body, reused := own("/3"); body != "3" || reused {
		t.Errorf("the third request got %q, on a used connection %t", body, reused)
	}
}

// Guards against sending a request once more on a connection that has carried it, whoever
// sends it, and against forgetting that after many others.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer) })
	p := NewPool(nil)
	send := func(id string) *Conn {
		_, c, err := exchange(p, s, &Request{ID: ident.RequestID(id), Method: "GET", Target: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := send("0")
	for n := 1; n < maxCarried; n++ {
		if c := send(strconv.Itoa(n)); c != first {
			t.Fatalf("request %d opened a connection", n)
		}
	}
	if p.pop(s, anyConn) != nil {
		t.Error("a connection that has carried the most requests is kept")
	}
	second := send("0")
	if third := send("0"); third == second || third.Reused() {
		t.Error("the connection is used for the same request again")
	}
	if c := send("1"); !c.Reused() {
		t.Error("the connections are not used for other requests")
	}
}
