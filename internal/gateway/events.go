package gateway

import (
	"bytes"
	"strconv"
)

// eventReader cuts the bytes of an event stream into whole events.
type eventReader struct{ pending []byte }

// event is one event with the bytes that end it.
type event struct {
	id  int64 // 0 if the event has no number
	raw []byte
}

// add appends bytes that have arrived.
func (r *eventReader) add(p []byte) { r.pending = append(r.pending, p...) }

// next returns the next whole event. Its bytes are valid until the next add.
func (r *eventReader) next() (event, bool) {
	end := endOfEvent(r.pending)
	if end < 0 {
		return event{}, false
	}
	raw := r.pending[:end]
	r.pending = r.pending[end:]
	return event{id: eventID(raw), raw: raw}, true
}

// partial reports whether bytes of an unfinished event are left.
func (r *eventReader) partial() bool { return len(r.pending) > 0 }

// endOfEvent returns the index after the empty line that ends the first event,
// or -1.
func endOfEvent(p []byte) int {
	for i := 0; i < len(p); {
		n := bytes.IndexByte(p[i:], '\n')
		if n < 0 {
			return -1
		}
		if n == 0 || n == 1 && p[i] == '\r' {
			return i + n + 1
		}
		i += n + 1
	}
	return -1
}

func eventID(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0
		}
		return id
	}
	return 0
}
