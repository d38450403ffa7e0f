package replica

import (
	"context"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/ring"
)

// peerWorker sends the copies that one peer holds. Only the goroutine that calls run
// accesses the fields below cancel.
type peerWorker struct {
	host    ident.HostID
	options *Options
	stats   *counters
	ring    *ring.Ring[*Copy]
	cancel  context.CancelFunc

	waiting  []*Copy      // changed copies that are not in a batch yet
	sent     []sentUpdate // content of the batch in progress
	batch    nodepb.JournalBatch
	updates  []*nodepb.JournalUpdate // reused; batch.Updates is a prefix
	lastSend time.Time

	stream       Stream
	streamCtx    context.Context
	cancelStream context.CancelFunc
}

type sentUpdate struct {
	copy *Copy
	info updateInfo
}

func (p *peerWorker) stop() {
	p.ring.Close()
	p.cancel()
}

func (p *peerWorker) run(ctx context.Context) {
	defer p.closeStream()
	for {
		if len(p.waiting) == 0 {
			var err error
			if p.waiting, err = p.ring.PopAll(ctx, p.waiting); err != nil {
				break
			}
		}
		if !sleep(ctx, p.options.FlushInterval-time.Since(p.lastSend)) {
			break
		}
		p.waiting = p.ring.TryPopAll(p.waiting)
		p.flush(ctx)
	}
	p.failWaiting(CodeClosed)
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// flush sends one batch and handles its acknowledgement or failure.
func (p *peerWorker) flush(ctx context.Context) {
	bytes := p.fillBatch()
	if len(p.sent) == 0 {
		return
	}
	p.lastSend = time.Now()
	ack, err := p.exchange(ctx, bytes)
	if err != nil {
		p.failBatch(ctx, err)
	} else {
		p.applyAck(ack)
	}
	p.resetUpdates()
}

// fillBatch moves pending tokens into the batch and returns its approximate size
// in bytes. Copies with tokens that do not fit remain in waiting.
func (p *peerWorker) fillBatch() int {
	p.sent = p.sent[:0]
	bytes, tokens, remaining := 0, 0, p.waiting[:0]
	for _, c := range p.waiting {
		if bytes >= maxBatchBytes {
			remaining = append(remaining, c)
			continue
		}
		if len(p.sent) == len(p.updates) {
			p.updates = append(p.updates, new(nodepb.JournalUpdate))
		}
		info := c.take(p.updates[len(p.sent)])
		if info.ended {
			continue
		}
		if info.more {
			remaining = append(remaining, c)
		}
		p.sent = append(p.sent, sentUpdate{c, info})
		bytes += info.bytes
		tokens += len(p.updates[len(p.sent)-1].Tokens)
	}
	clear(p.waiting[len(remaining):])
	p.waiting = remaining
	p.batch.Updates = p.updates[:len(p.sent)]
	if len(p.sent) > 0 {
		p.batch.Batch++
		p.stats.batches.Add(1)
	}
	p.stats.updates.Add(uint64(len(p.sent)))
	p.stats.tokens.Add(uint64(tokens))
	p.stats.bytes.Add(uint64(bytes))
	return bytes
}

// exchange sends the batch and waits for its acknowledgement, for at most
// AcknowledgeTimeout plus timePerByte for each byte.
func (p *peerWorker) exchange(ctx context.Context, bytes int) (*nodepb.JournalAck, error) {
	if p.stream == nil {
		p.streamCtx, p.cancelStream = context.WithCancel(ctx)
	}
	limit := p.options.AcknowledgeTimeout + time.Duration(bytes)*timePerByte
	timer := time.AfterFunc(limit, p.cancelStream)
	ack, err := p.sendAndReceive()
	late := !timer.Stop()
	if late || err != nil {
		p.closeStream()
	}
	switch {
	case err == nil:
		return ack, nil
	case late:
		return nil, newError(CodeTimeout).Wrapf(err, "node %s did not acknowledge %d bytes within %v", p.host, bytes, limit)
	default:
		return nil, newError(CodeUnreachable).Wrapf(err, "copy journals to node %s", p.host)
	}
}

func (p *peerWorker) sendAndReceive() (*nodepb.JournalAck, error) {
	if p.stream == nil {
		stream, err := p.options.Open(p.streamCtx, p.host)
		if err != nil {
			return nil, err
		}
		p.stream = stream
	}
	if err := p.stream.Send(&p.batch); err != nil {
		return nil, err
	}
	ack, err := p.stream.Recv()
	if err == nil && ack.GetBatch() != p.batch.Batch {
		return nil, newError(CodeUnreachable).Errorf("node %s acknowledged batch %d instead of %d", p.host, ack.GetBatch(), p.batch.Batch)
	}
	return ack, err
}

func (p *peerWorker) closeStream() {
	if p.cancelStream != nil {
		p.cancelStream()
	}
	p.stream, p.cancelStream = nil, nil
}

// failBatch marks as lost the copies of the batch and those that wait for the same
// peer, so that the waiting ones also move to another peer now and not after a
// further timeout.
func (p *peerWorker) failBatch(ctx context.Context, err error) {
	code := CodeOf(err)
	switch {
	case ctx.Err() != nil:
		code = CodeClosed
	case code == "":
		// Errors of the connection layer have their own codes.
		code = CodeUnreachable
	}
	if ctx.Err() == nil && p.options.Report != nil {
		p.options.Report(p.host, err)
	}
	for _, s := range p.sent {
		s.copy.markLost(code)
	}
	p.failWaiting(code)
}

func (p *peerWorker) failWaiting(code Code) {
	p.waiting = p.ring.TryPopAll(p.waiting)
	for _, c := range p.waiting {
		c.markLost(code)
	}
	clear(p.waiting)
	p.waiting = p.waiting[:0]
}

// applyAck passes an acknowledgement to the copies of the batch.
func (p *peerWorker) applyAck(ack *nodepb.JournalAck) {
	unknown := make(map[string]bool, len(ack.GetUnknown()))
	for _, generation := range ack.GetUnknown() {
		unknown[generation] = true
	}
	for _, s := range p.sent {
		if unknown[s.copy.generation] {
			s.copy.markLost(CodeNotStored)
			continue
		}
		s.copy.acknowledge(s.info.end, s.info.finished)
	}
}

// resetUpdates prepares the updates for reuse and clears their references to token
// texts, so that these can be garbage collected.
func (p *peerWorker) resetUpdates() {
	for _, u := range p.batch.Updates {
		tokens := u.Tokens
		clear(tokens)
		if cap(tokens) > maxReusedTokens {
			tokens = nil
		}
		u.GenerationId, u.Head, u.FirstIndex, u.Finished, u.FinishReason, u.CopyId = "", nil, 0, false, "", 0
		u.Tokens = tokens[:0]
	}
	clear(p.sent)
	p.sent = p.sent[:0]
}
