package ground

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
)

// Call is one attempt of a client.
type Call struct {
	Node    *Node
	Method  string
	Path    string
	ID      string
	Body    string
	Prefix  string // parts of the prompt; empty for a plain call
	Tokens  int    // of the prompt
	After   int    // last event that the client has
	Origin  string // attempt that brought the first event
	Timeout time.Duration
}

// Reply is how an attempt ended.
type Reply struct {
	Status     int // 0 without an answer
	Proof      string
	Body       string
	Events     int      // id of the last event
	Versions   []string // whose events the answer holds
	RetryAfter time.Duration
	Err        error
	Sent       time.Time
	Took       time.Duration
}

// Served reports whether a plain call was answered with success.
func (r Reply) Served() bool { return r.Err == nil && r.Status == http.StatusOK && r.Proof != "" }

// Send makes one attempt on a connection of the client's own pool, or a new one.
func (w *World) Send(client *http.Client, c Call) (reply Reply) {
	reply.Sent = time.Now()
	defer func() {
		reply.Took = time.Since(reply.Sent)
		w.Note("%s %s by %s: status %d events %d versions %v after %dms %v %s", c.Method, c.ID, c.Node.Name, reply.Status, reply.Events, reply.Versions, reply.Took.Milliseconds(), reply.Err, refusalText(reply))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Node.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		reply.Err = err
		return reply
	}
	r.Host = "gw.example"
	set := func(name, value string) { r.Header.Set(w.Names[name], value) }
	set("id", c.ID)
	set("key", "key-1")
	set("deadline", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if c.Prefix != "" {
		set("prefix", c.Prefix)
		set("usage", fmt.Sprintf("%d,600", c.Tokens))
		set("model", "m")
	}
	if c.After > 0 {
		set("after", strconv.Itoa(c.After))
		set("resumes", c.Origin)
	}
	reply.Events = c.After
	response, err := client.Do(r)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer response.Body.Close()
	reply.Status, reply.Proof = response.StatusCode, response.Header.Get(w.Names["proof"])
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if c.Prefix == "" || reply.Status != http.StatusOK {
		raw, err := io.ReadAll(response.Body)
		reply.Body, reply.Err = string(raw), err
		return reply
	}
	reply.Events, reply.Versions, reply.Err = readEvents(response.Body, c.After)
	return reply
}

func refusalText(r Reply) string {
	if r.Status == http.StatusOK || r.Status == 0 {
		return ""
	}
	return strings.TrimSpace(r.Body)
}

// readEvents returns the id of the last event that follows the ones before without a gap, and
// the software versions that the events name.
func readEvents(body io.Reader, last int) (id int, versions []string, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if v, ok := standin.VersionOfLine(lines.Text()); ok && !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
		value, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if id, err := strconv.Atoi(value); err == nil && id == last+1 {
			last = id
		}
	}
	return last, versions, lines.Err()
}
