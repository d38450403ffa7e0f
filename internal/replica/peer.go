package replica

import (
	"context"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/ring"
)

// peer is the worker that sends all copies on one peer. The fields below cancel
// belong to its goroutine.
type peer struct {
	host    ident.HostID
	options *Options
	stats   *counters
	ring    *ring.Ring[*Copy]
	cancel  context.CancelFunc

	waiting  []*Copy // changed copies that are not in a batch yet
	sent     []sent  // content of the batch under way
	batch    nodepb.JournalBatch
	updates  []*nodepb.JournalUpdate // reused; batch.Updates is a prefix
	lastSend time.Time

	stream       Stream
	streamCtx    context.Context
	cancelStream context.CancelFunc
}

type sent struct {
	copy  *Copy
	taken taken
}

func (p *peer) stop() {
	p.ring.Close()
	p.cancel()
}

func (p *peer) run(ctx context.Context) {
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
	p.loseWaiting(CodeClosed)
}

// sleep returns false if ctx ended first.
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

// flush sends one batch and handles its outcome.
func (p *peer) flush(ctx context.Context) {
	bytes := p.fill()
	if len(p.sent) == 0 {
		return
	}
	p.lastSend = time.Now()
	ack, err := p.exchange(ctx, bytes)
	if err != nil {
		p.fail(ctx, err)
	} else {
		p.settle(ack)
	}
	p.recycle()
}

// fill moves pending tokens into the batch and returns its approximate size.
func (p *peer) fill() int {
	p.sent = p.sent[:0]
	bytes, tokens, left := 0, 0, p.waiting[:0]
	for _, c := range p.waiting {
		if bytes >= maxBatchBytes {
			left = append(left, c)
			continue
		}
		if len(p.sent) == len(p.updates) {
			p.updates = append(p.updates, new(nodepb.JournalUpdate))
		}
		t := c.take(p.updates[len(p.sent)])
		if t.ended {
			continue
		}
		if t.more {
			left = append(left, c)
		}
		p.sent = append(p.sent, sent{c, t})
		bytes += t.bytes
		tokens += len(p.updates[len(p.sent)-1].Tokens)
	}
	clear(p.waiting[len(left):])
	p.waiting = left
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

// exchange sends the batch and waits for its acknowledgement within the limit.
func (p *peer) exchange(ctx context.Context, bytes int) (*nodepb.JournalAck, error) {
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

func (p *peer) sendAndReceive() (*nodepb.JournalAck, error) {
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

func (p *peer) closeStream() {
	if p.cancelStream != nil {
		p.cancelStream()
	}
	p.stream, p.cancelStream = nil, nil
}

// fail loses the copies of the batch and those that wait for the same peer, so
// that these move to another peer now instead of after one more time limit.
func (p *peer) fail(ctx context.Context, err error) {
	code := CodeOf(err)
	switch {
	case ctx.Err() != nil:
		code = CodeClosed
	case code == "":
		// The connection's layer reports its own codes.
		code = CodeUnreachable
	}
	if ctx.Err() == nil && p.options.Report != nil {
		p.options.Report(p.host, err)
	}
	for _, s := range p.sent {
		s.copy.lose(code)
	}
	p.loseWaiting(code)
}

func (p *peer) loseWaiting(code Code) {
	p.waiting = p.ring.TryPopAll(p.waiting)
	for _, c := range p.waiting {
		c.lose(code)
	}
	clear(p.waiting)
	p.waiting = p.waiting[:0]
}

// settle passes an acknowledgement on to the copies of the batch.
func (p *peer) settle(ack *nodepb.JournalAck) {
	unknown := make(map[string]bool, len(ack.GetUnknown()))
	for _, generation := range ack.GetUnknown() {
		unknown[generation] = true
	}
	for _, s := range p.sent {
		if unknown[s.copy.generation] {
			s.copy.lose(CodeUnknown)
			continue
		}
		s.copy.acknowledge(s.taken.through, s.taken.finished)
	}
}

// recycle prepares the updates for reuse without keeping texts alive.
func (p *peer) recycle() {
	for _, u := range p.batch.Updates {
		tokens := u.Tokens
		clear(tokens)
		if cap(tokens) > maxKeptTokens {
			tokens = nil
		}
		u.GenerationId, u.Head, u.FirstIndex, u.Finished, u.FinishReason, u.CopyId = "", nil, 0, false, "", 0
		u.Tokens = tokens[:0]
	}
	clear(p.sent)
	p.sent = p.sent[:0]
}
