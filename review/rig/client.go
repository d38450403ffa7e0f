package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests and record to which node each went.
type clients struct {
	w      *world
	number atomic.Int64

	mu   sync.Mutex
	sent map[string]send // guarded by mu; by the id of the request
}

type send struct {
	at   time.Time
	node string
}

func newClients(w *world) *clients { return &clients{w: w, sent: map[string]send{}} }

// nextID returns the id of the next request, which no other has.
func (c *clients) nextID() string { return fmt.Sprintf("%016x", c.number.Add(1)) }

// request returns a request to a node, and records that it is sent.
func (c *clients) request(ctx context.Context, n *node, id, method, path string, body []byte, timeout time.Duration) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "desk.example"
	names := &c.w.names
	r.Header.Set(names.Request, id)
	r.Header.Set(names.Key, "key-1")
	r.Header.Set(names.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	c.mu.Lock()
	c.sent[id] = send{time.Now(), n.name}
	c.mu.Unlock()
	return r, nil
}

// nodeOf returns the node to which a request was sent.
func (c *clients) nodeOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id].node
}

// book sends one booking.
func (c *clients) book(ctx context.Context, n *node) {
	id := c.nextID()
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	r, err := c.request(ctx, n, id, http.MethodPost, "/book/chair", []byte("booking "+id), 1500*time.Millisecond)
	if err != nil {
		return
	}
	c.w.log.add("client sends %s to %s", id, n.name)
	response, err := n.client.Do(r)
	if err != nil {
		c.w.log.add("client gets no answer to %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.w.log.add("client gets %d for %s, proof %q, %d bytes, %v", response.StatusCode, id, response.Header.Get(c.w.names.Proof), len(body), err)
}

const streamTimeout = 25 * time.Second

// stream asks for a stream, and takes it up again at another node until it is complete, its
// time is over, or it was begun a few times.
func (c *clients) stream(ctx context.Context) {
	names := &c.w.names
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	end := time.Now().Add(streamTimeout)
	last, origin := 0, ""
	for attempt := range 4 {
		n := c.w.nodes[rand.IntN(len(c.w.nodes))]
		id := c.nextID()
		r, err := c.request(ctx, n, id, http.MethodPost, "/plan/quilt", bytes.Repeat([]byte("x"), 8000), time.Until(end))
		if err != nil {
			return
		}
		r.Header.Set(names.Model, "m")
		r.Header.Set(names.Usage, "4000,450")
		r.Header.Set(names.Prompt, "5c1e07a2:200,"+id+":3800")
		if last > 0 {
			r.Header.Set(names.LastEvent, strconv.Itoa(last))
			r.Header.Set(names.Resumes, origin)
		}
		c.w.log.add("client sends %s to %s, after %d", id, n.name, last)
		before := last
		status, pause := c.readStream(n, r, &last)
		if before == 0 && last > 0 {
			origin = id
		}
		c.w.log.add("client has %d events, status %d of %s", last, status, id)
		if last >= streamEvents || ctx.Err() != nil || attempt == 3 {
			return
		}
		select {
		case <-time.After(max(pause, 50*time.Millisecond)):
		case <-ctx.Done():
			return
		}
	}
}

// readStream reads the events of a stream, and returns the status of the answer and the pause
// for which it asks.
func (c *clients) readStream(n *node, r *http.Request, last *int) (status int, pause time.Duration) {
	response, err := n.client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get(c.w.names.Pause), 64) // 0 without the header
		return response.StatusCode, min(time.Duration(seconds*float64(time.Second)), 8*time.Second)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		value, ok := strings.CutPrefix(lines.Text(), "id:")
		if !ok {
			continue
		}
		if number, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			*last = number
		}
	}
	return response.StatusCode, 0
}

// every calls f at a rate per second until the context ends.
func every(ctx context.Context, perSecond float64, f func()) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go f()
		}
	}
}
