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

// LogLine is one parsed line of the log of a node.
type LogLine struct {
	At      time.Time
	Host    string
	Event   string
	Message string
	Request string
	Backend string
	Fields  map[string]any // the remaining fields
}

// logMargin is the time before the first and after the last log line of a request
// within which other log lines of its hosts may explain it.
const logMargin = 5 * time.Second

// maxLogLineBytes is the maximum length in bytes of a line that is read.
const maxLogLineBytes = 1 << 20

// commonFields are left out of LogLine.Fields: they have their own field in LogLine
// or do not help to explain a request.
var commonFields = []string{
	telemetry.FieldTime, telemetry.FieldLevel, telemetry.FieldEvent, telemetry.FieldMessage, telemetry.FieldHost,
	telemetry.FieldDataCentre, telemetry.FieldRequest, telemetry.FieldBackend,
}

// ReadLog parses the lines of a log. It skips lines that a node did not log, such as
// the output of a crash, and ignores any prefix that a log collector added to a
// line.
func ReadLog(r io.Reader) ([]LogLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLineBytes)
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

// History returns the log lines that explain a request, in order of time: its own
// lines, and those that its hosts logged in the same period about the backend
// servers that it used, the store, the configuration or their own start and stop.
func History(lines []LogLine, request string) []LogLine {
	hosts, backends := map[string]bool{}, map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		hosts[l.Host] = true
		backends[l.Backend] = true
		for _, id := range backendIDsOf(l) {
			backends[id] = true
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
		sameHostAndTime := hosts[l.Host] && l.Request == "" && l.At.After(from.Add(-logMargin)) && l.At.Before(to.Add(logMargin))
		relevantBackend := l.Backend == "" || backends[l.Backend]
		if l.Request == request || sameHostAndTime && relevantBackend && isContextEvent(l.Event) {
			history = append(history, l)
		}
	}
	slices.SortStableFunc(history, func(a, b LogLine) int { return a.At.Compare(b.At) })
	return history
}

// Rollouts returns the log lines of the roll-outs of a service (empty for all), in order of
// time.
func Rollouts(lines []LogLine, service string) []LogLine {
	var steps []LogLine
	for _, l := range lines {
		name, _ := l.Fields["service"].(string)
		if l.Event == string(telemetry.EventRollout) && (service == "" || name == service) {
			steps = append(steps, l)
		}
	}
	slices.SortStableFunc(steps, func(a, b LogLine) int { return a.At.Compare(b.At) })
	return steps
}

// isContextEvent reports whether log lines of an event can explain a request that
// they do not name.
func isContextEvent(event string) bool {
	return slices.Contains([]telemetry.Event{
		telemetry.EventBackendLost, telemetry.EventBackendListed, telemetry.EventConfigApplied, telemetry.EventStoreLost, telemetry.EventStoreBack,
		telemetry.EventNodeStarted, telemetry.EventNodeLeaving, telemetry.EventNodeStopped, telemetry.EventSettingsReloaded,
		telemetry.EventRollout,
	}, telemetry.Event(event))
}

// backendIDsOf returns the words in the steps of a line, among which are the ids of
// the backend servers that the steps name.
func backendIDsOf(l LogLine) []string {
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

// Detail returns the remaining fields of a line as text. The sends and the steps come last,
// each on its own line.
func (l LogLine) Detail() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "steps" && name != "sends" && l.Fields[name] != "" {
			fmt.Fprintf(&b, "%s=%v ", name, l.Fields[name])
		}
	}
	sends, _ := l.Fields["sends"].([]any)
	for _, send := range sends {
		fmt.Fprintf(&b, "\n    sent to %v", send)
	}
	steps, _ := l.Fields["steps"].([]any)
	for _, step := range steps {
		fmt.Fprintf(&b, "\n    %v", step)
	}
	return strings.TrimRight(b.String(), " ")
}
