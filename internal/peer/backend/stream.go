package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// maxEventBytes bounds one server-sent event. An event holds one token.
const maxEventBytes = 64 << 10

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// Stream is one connection to the stream of an attempt.
type Stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	reader *bufio.Reader
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, cancel: cancel, reader: bufio.NewReaderSize(body, 2<<10)}
}

// Next returns the next event. It returns io.EOF after the event that the
// engine sends at the end of an answer, and an error with CodeBroken if the
// connection ends before.
func (s *Stream) Next() (backendapi.StreamEvent, error) {
	var event backendapi.StreamEvent
	for {
		line, err := s.readLine()
		if err != nil {
			return event, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			// Other fields repeat what the data holds; comments keep the
			// connection open.
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

// Close ends the connection. The engine keeps the stream.
func (s *Stream) Close() {
	s.cancel()
	s.body.Close()
}
