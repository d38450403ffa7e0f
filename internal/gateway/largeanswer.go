package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
)

// maxBufferedAnswer is the maximum number of bytes of an answer's body that are held in
// memory. The rest of a larger body is passed on as it arrives, so that many large or
// endless answers at once do not fill the memory.
const maxBufferedAnswer = 16 << 10

// copyBuffer is the size in bytes of the buffer with which a large answer is passed on.
const copyBuffer = 4 << 10

// answerBuffers holds buffers for reading answers, of type *[maxBufferedAnswer + 1]byte.
var answerBuffers = sync.Pool{New: func() any { return new([maxBufferedAnswer + 1]byte) }}

// readAnswerBody is readAtMost with the limit maxBufferedAnswer. It reads into a shared
// buffer, so that most answers cost no more memory than their size.
func readAnswerBody(body io.Reader) ([]byte, error) {
	buffer := answerBuffers.Get().(*[maxBufferedAnswer + 1]byte)
	defer answerBuffers.Put(buffer)
	n := 0
	var err error
	for err == nil && n < len(buffer) {
		var read int
		read, err = body.Read(buffer[n:])
		n += read
	}
	switch {
	case n == len(buffer):
		err = errAnswerTooLarge
	case errors.Is(err, io.EOF):
		err = nil
	}
	return bytes.Clone(buffer[:n]), err
}

// errAnswerTooLarge is the error of readAtMost.
var errAnswerTooLarge = errors.New("the body exceeds the size limit")

// readAtMost reads a body to its end. If it has more than limit bytes, it returns those
// read so far and errAnswerTooLarge.
func readAtMost(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(read)) > limit {
		err = errAnswerTooLarge
	}
	return read, err
}

// answerRest is the unread part of a large answer.
type answerRest struct {
	conn     *backendconn.Conn
	response *http.Response
}

// streamReply passes a large answer on to the client as it arrives. An answer that ends
// early aborts the client's connection, so that it does not look complete.
func (e *exchange) streamReply(r *reply) {
	g, c, response := e.g, r.rest.conn, r.rest.response
	passHead(e.w, r.header)
	if response.ContentLength >= 0 {
		e.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	e.w.WriteHeader(r.status)
	_, err := e.w.Write(r.body)
	if err == nil {
		// The writer alone, since its ReadFrom method uses a larger buffer.
		_, err = io.CopyBuffer(struct{ io.Writer }{e.w}, response.Body, make([]byte, copyBuffer))
	}
	if err == nil && !framed(response) && g.refusesConnections(r.server) {
		err = backendconn.NewProtocolError("answer without length or chunked encoding, and its server no longer accepts connections")
	}
	if err != nil {
		g.Pool.Close(c)
		err = c.BodyError(err)
		e.addStep("%s: answer ended early: %v", r.server.ID, err)
		g.Fleet.RecordResult(r.server, false)
		e.recordOutcome("broken", 0, err.Error())
		panic(http.ErrAbortHandler)
	}
	g.Pool.Put(addressOf(r.server), c, response)
	g.Fleet.RecordResult(r.server, r.status < http.StatusInternalServerError)
	if r.succeeded() {
		e.recordAnswered(time.Now())
	}
	e.recordOutcome("served", r.status, "")
}
