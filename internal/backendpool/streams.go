package backendpool

import (
	"context"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
)

var _ generation.Backends = (*Pool)(nil)

// Open implements generation.Backends.
func (p *Pool) Open(ctx context.Context, id ident.BackendID, request backendapi.CompletionRequest) (generation.Stream, error) {
	url, err := p.url(id)
	if err != nil {
		return nil, err
	}
	stream, err := p.client.Open(ctx, url, request)
	if err != nil {
		if backend.CodeOf(err) == backend.CodeConnect {
			p.refused(id)
		}
		return nil, err
	}
	return &countedStream{Stream: stream, pool: p, id: id, attempt: ident.AttemptID(request.AttemptID)}, nil
}

// refused opens the breaker of a server that refused a connection, so that the
// attempts of other requests are not used up on it before the next poll. It
// records no death: what was to be opened has not run there.
func (p *Pool) refused(id ident.BackendID) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Died(now, id)
}

// Resume implements generation.Backends.
func (p *Pool) Resume(ctx context.Context, id ident.BackendID, attempt ident.AttemptID, from int) (generation.Stream, error) {
	url, err := p.url(id)
	if err != nil {
		return nil, err
	}
	return p.client.Resume(ctx, url, attempt, from)
}

// Status implements generation.Backends.
func (p *Pool) Status(ctx context.Context, id ident.BackendID, attempt ident.AttemptID) (backendapi.StreamStatus, error) {
	url, err := p.url(id)
	if err != nil {
		return backendapi.StreamStatus{}, err
	}
	return p.client.Status(ctx, url, attempt)
}

// Cancel implements generation.Backends.
func (p *Pool) Cancel(id ident.BackendID, attempt ident.AttemptID) {
	url, err := p.url(id)
	if err != nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// A stream that cannot be cancelled ends by its retention on the engine.
		_ = p.client.Cancel(ctx, url, attempt)
	}()
}

// State reads an engine's placement.
func (p *Pool) State(ctx context.Context, id ident.BackendID) (backendapi.State, error) {
	url, err := p.url(id)
	if err != nil {
		return backendapi.State{}, err
	}
	return p.client.State(ctx, url)
}

// Order states the desired placement of an engine.
func (p *Pool) Order(ctx context.Context, id ident.BackendID, order backendapi.Order) error {
	url, err := p.url(id)
	if err != nil {
		return err
	}
	return p.client.Order(ctx, url, order)
}

// Call sends a call to a plain service chosen before.
func (p *Pool) Call(ctx context.Context, id ident.BackendID, call backend.Call) (backend.Answer, error) {
	url, err := p.url(id)
	if err != nil {
		return backend.Answer{}, err
	}
	return p.client.Do(ctx, url, call)
}

// countedStream tells placement about the first token of an attempt.
type countedStream struct {
	*backend.Stream
	pool     *Pool
	id       ident.BackendID
	attempt  ident.AttemptID
	answered bool
}

// Next implements generation.Stream.
func (s *countedStream) Next() (backendapi.StreamEvent, error) {
	event, err := s.Stream.Next()
	if err == nil && !s.answered {
		s.answered = true
		s.pool.Answered(s.id, s.attempt)
	}
	return event, err
}
