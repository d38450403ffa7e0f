package gateway

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the size from which on an incomplete event is taken for bytes that
// are no event. Events are a few hundred bytes long.
const maxEventBytes = 64 << 10

// eventReader splits the bytes of an event stream into complete events.
type eventReader struct{ pending []byte }

// event is one event, including the empty line that ends it.
type event struct {
	id  int64 // 0 if the event has no valid id
	raw []byte
}

// add appends bytes that were received.
func (r *eventReader) add(p []byte) { r.pending = append(r.pending, p...) }

// next returns the next complete event. Its bytes are valid until the next call
// of add.
func (r *eventReader) next() (event, bool) {
	end := endOfEvent(r.pending)
	if end < 0 {
		return event{}, false
	}
	raw := r.pending[:end]
	r.pending = r.pending[end:]
	return event{id: eventID(raw), raw: raw}, true
}

// tooLarge reports whether the incomplete event that is buffered exceeds maxEventBytes.
func (r *eventReader) tooLarge() bool { return len(r.pending) > maxEventBytes }

// partial reports whether an incomplete event is buffered.
func (r *eventReader) partial() bool { return len(r.pending) > 0 }

// endOfEvent returns the index after the empty line that ends the first event,
// or -1 if that event is not complete.
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

// eventID returns the number in the first id field of an event, or 0 if there
// is none or it is not an integer.
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
