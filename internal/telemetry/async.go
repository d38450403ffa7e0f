package telemetry

import (
	"bytes"
	"context"
	"io"

	"github.com/yuccahatch/yuccahatch/internal/ring"
)

// AsyncWriter passes lines to a writer from a goroutine of its own, so that a
// reader of the log that stalls does not stop a request. Lines that find the
// ring full are dropped; the ring counts them.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	done  chan struct{}
}

// NewAsyncWriter starts the goroutine that writes to out.
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

// Dropped returns the number of lines that were lost.
func (w *AsyncWriter) Dropped() uint64 { return w.lines.Dropped() }

// Close writes the lines that wait and ends the goroutine.
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
		// A log that cannot be written leaves nothing to report it to.
		_, _ = out.Write(bytes.Join(batch, nil))
	}
}
