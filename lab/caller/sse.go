package caller

import (
	"bufio"
	"errors"
	"io"
	"strings"
)

// endMark is the data of the event behind a complete answer.
const endMark = "[DONE]"

// maxLine bounds one line of an event stream in bytes.
const maxLine = 1 << 20

// sseEvent is one server-sent event.
type sseEvent struct {
	id, name, data string
}

// sseReader reads server-sent events.
type sseReader struct {
	lines *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	return &sseReader{lines: lines}
}

// next returns the next event. An event that the connection cut off is not
// returned, because its data may be incomplete.
func (r *sseReader) next() (sseEvent, error) {
	var e sseEvent
	var data []string
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" {
			if len(data) > 0 {
				e.data = strings.Join(data, "\n")
				return e, nil
			}
			e = sseEvent{id: e.id}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			data = append(data, value)
		}
	}
	if err := r.lines.Err(); err != nil {
		return sseEvent{}, err
	}
	return sseEvent{}, errors.New("stream ended without its end mark")
}
