package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// LogLine is one line of a node's log.
type LogLine struct {
	At      time.Time
	Host    string
	Event   string
	Message string
	Request string
	Backend string
	Fields  map[string]any // the others
}

// logMargin is the time before a request's first and after its last line in
// which what its hosts learned may explain it.
const logMargin = 5 * time.Second

// maxLogLine is the longest line that is read.
const maxLogLine = 1 << 20

// commonFields stand in fields of LogLine of their own or say nothing.
var commonFields = []string{
	telemetry.FieldTime, telemetry.FieldLevel, telemetry.FieldEvent, telemetry.FieldMessage, telemetry.FieldHost,
	telemetry.FieldDataCentre, telemetry.FieldRequest, telemetry.FieldBackend,
}

// ReadLog reads the lines of a log. What is no line of a node is passed over, such
// as the output of a crash; a collector may have put words before the line.
func ReadLog(r io.Reader) ([]LogLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	var lines []LogLine
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseLine(raw []byte) (LogLine, bool) {
	start := slices.Index(raw, '{')
	if start < 0 {
		return LogLine{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return LogLine{}, false
	}
	text := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, text(telemetry.FieldTime))
	if err != nil {
		return LogLine{}, false
	}
	line := LogLine{
		At: at, Host: text(telemetry.FieldHost), Event: text(telemetry.FieldEvent), Message: text(telemetry.FieldMessage),
		Request: text(telemetry.FieldRequest), Backend: text(telemetry.FieldBackend), Fields: fields,
	}
	for _, name := range commonFields {
		delete(fields, name)
	}
	return line, true
}

// History picks the lines that explain a request, in the order of time: its own,
// and those by which its hosts learned of the backend servers that it met, of the
// store, of the configuration or of their own stop meanwhile.
func History(lines []LogLine, request string) []LogLine {
	hosts, servers := map[string]bool{}, map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		hosts[l.Host] = true
		servers[l.Backend] = true
		for _, id := range serversOf(l) {
			servers[id] = true
		}
		if begin := l.At.Add(-durationOf(l)); from.IsZero() || begin.Before(from) {
			from = begin
		}
		if l.At.After(to) {
			to = l.At
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	var history []LogLine
	for _, l := range lines {
		during := hosts[l.Host] && l.Request == "" && l.At.After(from.Add(-logMargin)) && l.At.Before(to.Add(logMargin))
		about := l.Backend == "" || servers[l.Backend]
		if l.Request == request || during && about && explains(l.Event) {
			history = append(history, l)
		}
	}
	slices.SortStableFunc(history, func(a, b LogLine) int { return a.At.Compare(b.At) })
	return history
}

// explains reports whether a line that names no request can explain one.
func explains(event string) bool {
	return slices.Contains([]telemetry.Event{
		telemetry.EventBackendLost, telemetry.EventBackendListed, telemetry.EventConfigApplied, telemetry.EventStoreLost, telemetry.EventStoreBack,
		telemetry.EventNodeStarted, telemetry.EventNodeLeaving, telemetry.EventNodeStopped, telemetry.EventSettingsReloaded,
	}, telemetry.Event(event))
}

// serversOf returns the ids of backend servers that the steps of a line name.
func serversOf(l LogLine) []string {
	steps, _ := l.Fields["steps"].([]any)
	var ids []string
	for _, step := range steps {
		text, _ := step.(string)
		for _, word := range strings.Fields(text) {
			ids = append(ids, strings.Trim(strings.TrimPrefix(word, "backup="), ":,"))
		}
	}
	return ids
}

func durationOf(l LogLine) time.Duration {
	ms, _ := l.Fields["duration_ms"].(float64)
	return time.Duration(ms) * time.Millisecond
}

// Detail returns the fields of a line as text, steps last and one a line.
func (l LogLine) Detail() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "steps" && l.Fields[name] != "" {
			fmt.Fprintf(&b, "%s=%v ", name, l.Fields[name])
		}
	}
	steps, _ := l.Fields["steps"].([]any)
	for _, step := range steps {
		fmt.Fprintf(&b, "\n    %v", step)
	}
	return strings.TrimRight(b.String(), " ")
}
