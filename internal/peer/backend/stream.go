package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// maxEventBytes is the maximum length of one server-sent event. An event holds
// one token.
const maxEventBytes = 64 << 10

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// Stream reads the events of an attempt's stream over one connection.
type Stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	reader *bufio.Reader
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, cancel: cancel, reader: bufio.NewReaderSize(body, 2<<10)}
}

// Next returns the next event. It returns io.EOF at the end marker that the
// engine sends after the last event, and an error with CodeBroken if the
// connection ends before that marker.
func (s *Stream) Next() (backendapi.StreamEvent, error) {
	var event backendapi.StreamEvent
	for {
		line, err := s.readLine()
		if err != nil {
			return event, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			// Other SSE fields repeat what the data holds, and SSE comments
			// only keep the connection open.
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return event, io.EOF
		}
		if err := json.Unmarshal(data, &event); err != nil {
			return event, newError(CodeProtocol).Wrapf(err, "decode event of a stream")
		}
		return event, nil
	}
}

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if err != bufio.ErrBufferFull {
		return nil, newError(CodeBroken).Wrapf(err, "read stream")
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull && len(long) <= maxEventBytes {
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, newError(CodeProtocol).Wrapf(err, "event of a stream is longer than %d bytes or cut off", maxEventBytes)
	}
	return long, nil
}

// Close closes the connection. The engine keeps the stream, so Resume can attach
// to it again.
func (s *Stream) Close() {
	s.cancel()
	s.body.Close()
}
