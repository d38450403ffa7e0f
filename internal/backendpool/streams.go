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
			p.connectionRefused(id)
		}
		return nil, err
	}
	return &firstTokenStream{Stream: stream, pool: p, id: id, attempt: ident.AttemptID(request.AttemptID)}, nil
}

// connectionRefused opens the circuit breaker of a server that refused a
// connection, so that other requests do not use up their attempts on it before
// the next poll. It does not report a death, because the request that was to be
// opened has not run on the server.
func (p *Pool) connectionRefused(id ident.BackendID) {
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
		// If the cancellation fails, the engine ends the stream after its
		// retention time.
		_ = p.client.Cancel(ctx, url, attempt)
	}()
}

// State returns the state of an engine, with the models placed on it.
func (p *Pool) State(ctx context.Context, id ident.BackendID) (backendapi.State, error) {
	url, err := p.url(id)
	if err != nil {
		return backendapi.State{}, err
	}
	return p.client.State(ctx, url)
}

// Order sends the desired placement of models to an engine.
func (p *Pool) Order(ctx context.Context, id ident.BackendID, order backendapi.Order) error {
	url, err := p.url(id)
	if err != nil {
		return err
	}
	return p.client.SendOrder(ctx, url, order)
}

// Call sends a call to a service that Choose selected.
func (p *Pool) Call(ctx context.Context, id ident.BackendID, call backend.Call) (backend.Response, error) {
	url, err := p.url(id)
	if err != nil {
		return backend.Response{}, err
	}
	return p.client.Do(ctx, url, call)
}

// firstTokenStream notifies the pool of the first token of an attempt.
type firstTokenStream struct {
	*backend.Stream
	pool     *Pool
	id       ident.BackendID
	attempt  ident.AttemptID
	answered bool
}

// Next implements generation.Stream.
func (s *firstTokenStream) Next() (backendapi.StreamEvent, error) {
	event, err := s.Stream.Next()
	if err == nil && !s.answered {
		s.answered = true
		s.pool.Answered(s.id, s.attempt)
	}
	return event, err
}
