// Package scrape fetches and parses metrics pages in the Prometheus text format. It
// has no state, and its functions may be called from any goroutine.
package scrape

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Route is the path of a node's metrics page.
const Route = "/metrics"

// Names of the metrics that reports use. docs/metrics.md describes them.
const (
	TokensAccepted   = "yuccahatch_tokens_accepted_total"
	TokensDiscarded  = "yuccahatch_tokens_discarded_total"
	TokensRecomputed = "yuccahatch_tokens_recomputed_total"
	Resumes          = "yuccahatch_resumes_total"
	ResumeSeconds    = "yuccahatch_resume_seconds" // histogram, with _sum and _count
	CopyTokens       = "yuccahatch_copy_tokens_total"
	CopyBytes        = "yuccahatch_copy_bytes_total"
)

// timeout is the timeout for fetching one page.
const timeout = 2 * time.Second

// maxPageBytes is the maximum number of bytes that are read of a page; the rest is
// ignored.
const maxPageBytes = 16 << 20

// Sample is the value of one time series on a page.
type Sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// Page holds the samples of one or more metrics pages.
type Page []Sample

// Sum returns the sum of the samples of a metric that have all the given labels.
// labels alternates label names and values.
func (p Page) Sum(name string, labels ...string) float64 {
	sum := 0.0
	for _, s := range p {
		if s.Name == name && s.hasLabels(labels) {
			sum += s.Value
		}
	}
	return sum
}

func (s Sample) hasLabels(labels []string) bool {
	for i := 0; i+1 < len(labels); i += 2 {
		if s.Labels[labels[i]] != labels[i+1] {
			return false
		}
	}
	return true
}

// Fetch fetches and parses the metrics page of a node. address is the node's
// operator address (IP:port), key the bearer key of an operator; an empty key is
// not sent.
func Fetch(ctx context.Context, client *http.Client, address, key string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Route, nil)
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", address, resp.StatusCode)
	}
	return Parse(io.LimitReader(resp.Body, maxPageBytes))
}

// Parse parses a page in the Prometheus text format.
func Parse(r io.Reader) (Page, error) {
	var page Page
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		s, err := parseLine(line)
		if err != nil {
			return nil, err
		}
		page = append(page, s)
	}
	return page, lines.Err()
}

func parseLine(line string) (Sample, error) {
	s := Sample{Labels: map[string]string{}}
	at := strings.IndexAny(line, "{ \t")
	if at < 0 {
		return s, fmt.Errorf("metrics line %q has no value", line)
	}
	s.Name = line[:at]
	rest := line[at:]
	if rest[0] == '{' {
		var err error
		if rest, err = parseLabels(rest[1:], s.Labels); err != nil {
			return s, fmt.Errorf("metrics line %q: %w", line, err)
		}
	}
	fields := strings.Fields(rest) // value and an optional time stamp
	if len(fields) == 0 {
		return s, fmt.Errorf("metrics line %q has no value", line)
	}
	var err error
	if s.Value, err = strconv.ParseFloat(fields[0], 64); err != nil {
		return s, fmt.Errorf("metrics line %q: %w", line, err)
	}
	return s, nil
}

// parseLabels parses NAME="VALUE",... up to the closing brace, adds the labels to
// the map and returns the text after the brace.
func parseLabels(text string, labels map[string]string) (rest string, err error) {
	for {
		text = strings.TrimLeft(text, " ,")
		if rest, ok := strings.CutPrefix(text, "}"); ok {
			return rest, nil
		}
		name, after, ok := strings.Cut(text, "=")
		if !ok {
			return "", fmt.Errorf("label %q has no value", text)
		}
		quoted, err := strconv.QuotedPrefix(after)
		if err != nil {
			return "", fmt.Errorf("value of label %q: %w", name, err)
		}
		value, err := strconv.Unquote(quoted)
		if err != nil {
			return "", fmt.Errorf("value of label %q: %w", name, err)
		}
		labels[name] = value
		text = after[len(quoted):]
	}
}
