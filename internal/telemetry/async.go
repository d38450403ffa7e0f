package telemetry

import (
	"bytes"
	"context"
	"io"

	"github.com/yuccahatch/yuccahatch/internal/ring"
)

// AsyncWriter passes lines to a writer from its own goroutine, so that a stalled
// reader of the log does not block requests. While the ring is full, lines are
// dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	done  chan struct{}
}

// NewAsyncWriter starts the goroutine that writes to out. The ring holds up to
// capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{lines: ring.New[[]byte](capacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.lines.TryPush(bytes.Clone(p))
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.lines.Dropped() }

// Close writes the remaining lines and stops the goroutine.
func (w *AsyncWriter) Close() error {
	w.lines.Close()
	<-w.done
	return nil
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		batch, err := w.lines.PopAll(context.Background(), nil)
		if err != nil {
			return
		}
		// The error is ignored: a failed write to the log cannot be logged.
		_, _ = out.Write(bytes.Join(batch, nil))
	}
}
