package fleet

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Prompt describes the work of a request for an engine.
type Prompt struct {
	Tokens int // prompt
	Output int // most tokens of the answer
	// Part is a hash of the last part of the prompt, which belongs to the
	// request or its session alone; 0 if unknown.
	Part uint64
	// Done is the number of tokens that a copy holds already.
	Done int
}

const (
	// prefillPerToken is the time that an engine needs for one prompt token
	// between the tokens of other requests.
	prefillPerToken = 150 * time.Microsecond
	// cachedTokens is what an engine still reads of a prompt that it holds.
	cachedTokens = 256
)

// Placed is a run on an engine, as told to peers.
type Placed struct {
	Run     uint64          `json:"r"` // unique among the runs of its host
	Server  ident.BackendID `json:"s"`
	Backup  ident.BackendID `json:"b,omitempty"` // holds a copy; empty if none
	Prefill time.Duration   `json:"p,omitempty"`
	Tokens  int             `json:"t,omitempty"`
	Part    uint64          `json:"h,omitempty"`
}

// Start records a run.
func (f *Fleet) Start(now time.Time, host ident.HostID, p Placed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := runKey{host, p.Run}
	if s := f.servers[p.Server]; s != nil {
		s.runs[key] = &run{key: key, prefill: p.Prefill, tokens: p.Tokens, part: p.Part, started: now, waiting: true}
	}
	if b := f.servers[p.Backup]; b != nil {
		b.copies[key] = p.Tokens
	}
}

// First records that the prompt of a run has been read.
func (f *Fleet) First(now time.Time, host ident.HostID, p Placed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[p.Server]
	if s == nil {
		return
	}
	if r := s.runs[runKey{host, p.Run}]; r != nil && r.waiting {
		s.read(now, r)
		if r.part != 0 {
			s.prompts[r.part] = cached{tokens: r.tokens, at: now}
		}
	}
}

// Copied records that an engine holds, or is about to get, a copy of a run that
// began without it.
func (f *Fleet) Copied(host ident.HostID, p Placed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.servers[p.Backup]; b != nil {
		b.copies[runKey{host, p.Run}] = p.Tokens
	}
}

// CopyDropped takes back what Copied or Start recorded of a copy.
func (f *Fleet) CopyDropped(host ident.HostID, p Placed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.servers[p.Backup]; b != nil {
		delete(b.copies, runKey{host, p.Run})
	}
}

// End records that a run is over and its copy freed.
func (f *Fleet) End(host ident.HostID, p Placed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := runKey{host, p.Run}
	if s := f.servers[p.Server]; s != nil {
		delete(s.runs, key)
	}
	if b := f.servers[p.Backup]; b != nil {
		delete(b.copies, key)
	}
}

// ForgetHost drops the runs of a host that is gone. Its engines stop them when
// its connections close.
func (f *Fleet) ForgetHost(host ident.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		for key := range s.runs {
			if key.host == host {
				delete(s.runs, key)
			}
		}
		for key := range s.copies {
			if key.host == host {
				delete(s.copies, key)
			}
		}
	}
}

// Begin and Done count the requests of this node at a plain service.
func (f *Fleet) Begin(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outstanding++
}

// Done ends what Begin began.
func (f *Fleet) Done(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outstanding--
}

// firstToken is the expected time until a prompt that is sent to s now is read.
func (s *Server) firstToken(now time.Time, p Prompt) time.Duration {
	return s.queueWait(now) + s.scaled(s.prefillOn(p))
}

// prefillOn is the time that an engine of usual speed would need to read the part
// of a prompt that s does not hold.
func (s *Server) prefillOn(p Prompt) time.Duration {
	tokens := p.Tokens - p.Done
	if c, ok := s.prompts[p.Part]; ok && p.Part != 0 {
		tokens = min(tokens, max(cachedTokens, p.Tokens-c.tokens))
	}
	return time.Duration(max(tokens, 1)) * prefillPerToken
}

// Holds records that an engine holds the prompt parts of the given hashes.
func (f *Fleet) Holds(now time.Time, s *Server, parts map[uint64]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part, tokens := range parts {
		s.prompts[part] = cached{tokens: tokens, at: now}
	}
}

// Held reports whether a usable engine of the service is known to hold the last
// part of a prompt.
func (f *Fleet) Held(now time.Time, service string, part uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if _, ok := s.prompts[part]; ok && f.usable(s, service, now) {
			return true
		}
	}
	return false
}

// Usable returns the servers of a service that may get work.
func (f *Fleet) Usable(now time.Time, service string) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Server
	for _, s := range f.servers {
		if f.usable(s, service, now) {
			list = append(list, s)
		}
	}
	return list
}
