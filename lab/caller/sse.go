package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// doneMarker is the data of the event that follows a complete answer.
const doneMarker = "[DONE]"

// maxLine is the maximum length of a line of an event stream, in bytes.
const maxLine = 1 << 20

// sseEvent is one server-sent event. Its fields are valid until the next event is
// read.
type sseEvent struct {
	id, name, data []byte
}

// sseReader reads server-sent events. It reuses its buffers, because a load run
// reads tens of thousands of events per second.
type sseReader struct {
	lines          *bufio.Scanner
	id, name, data []byte
}

func newSSEReader(r io.Reader) *sseReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	return &sseReader{lines: lines}
}

// next returns the next event. An event that is cut off by the end of the
// connection is not returned, because its data may be incomplete.
func (r *sseReader) next() (sseEvent, error) {
	hasData := false
	r.name, r.data = r.name[:0], r.data[:0]
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return sseEvent{id: r.id, name: r.name, data: r.data}, nil
			}
			r.name = r.name[:0]
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			r.id = append(r.id[:0], value...)
		case "event":
			r.name = append(r.name[:0], value...)
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		}
	}
	if err := r.lines.Err(); err != nil {
		return sseEvent{}, err
	}
	return sseEvent{}, errors.New("stream ended without its end mark")
}
