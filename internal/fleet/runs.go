package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
)

// Prompt describes a request to an engine for the purposes of placement.
type Prompt struct {
	Tokens    int // length of the prompt
	MaxOutput int // maximum number of tokens of the answer
	// SuffixHash is a hash of the last part of the prompt, which is specific to the
	// request or its session; 0 if unknown.
	SuffixHash uint64
	// Version is the software version of the engines that may run the request; empty for
	// any.
	Version string
	// Pool limits the engines that may run a request that no version has begun.
	Pool Pool
	// Rank is how much less urgent the request is than the most urgent ones of its service.
	// Engines read the prompts of a lower rank first.
	Rank int
	// Resumed is set for a stream of which the client has already received a part.
	Resumed bool
	// CopiedTokens is the number of prompt tokens that the engine already holds in a
	// copy.
	CopiedTokens int
}

const (
	// prefillPerToken is the time that an engine needs to read one prompt token while
	// it generates tokens for other requests.
	prefillPerToken = 150 * time.Microsecond
	// uncachedTokens is the minimum number of tokens that an engine reads of a prompt
	// that it has cached.
	uncachedTokens = 256
)

// Placement describes a run placed on an engine, as sent to peers.
type Placement struct {
	Run        uint64          `json:"r"` // unique within its host
	Server     ident.BackendID `json:"s"`
	Backup     ident.BackendID `json:"b,omitempty"` // engine that holds a copy; empty if none
	Prefill    time.Duration   `json:"p,omitempty"`
	Tokens     int             `json:"t,omitempty"`
	SuffixHash uint64          `json:"h,omitempty"`
	Rank       int             `json:"u,omitempty"` // see Prompt.Rank
	// Began is the version that began a stream. It is set for the first event of a stream,
	// and not for that of a run that resumes one.
	Began *streamversion.Record `json:"o,omitempty"`
}

// AddRun records a new run on p.Server and, if p.Backup is set, its copy there.
func (f *Fleet) AddRun(now time.Time, host ident.HostID, p Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := runKey{host, p.Run}
	if s := f.servers[p.Server]; s != nil {
		s.runs[key] = &run{key: key, prefill: p.Prefill, tokens: p.Tokens, suffixHash: p.SuffixHash, rank: p.Rank, started: now, waiting: true}
	}
	if b := f.servers[p.Backup]; b != nil {
		b.copies[key] = p.Tokens
	}
}

// RecordPromptRead records that the engine has read the prompt of a run.
func (f *Fleet) RecordPromptRead(now time.Time, host ident.HostID, p Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[p.Server]
	if s == nil {
		return
	}
	if r := s.runs[runKey{host, p.Run}]; r != nil && r.waiting {
		s.recordPrefill(now, r)
		if r.suffixHash != 0 {
			s.cachedPrompts[r.suffixHash] = cachedPrompt{tokens: r.tokens, at: now}
		}
	}
}

// AddCopy records that an engine holds, or is about to receive, a copy of a run that
// was requested after the run had started.
func (f *Fleet) AddCopy(host ident.HostID, p Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.servers[p.Backup]; b != nil {
		b.copies[runKey{host, p.Run}] = p.Tokens
	}
}

// RemoveCopy removes a copy that AddCopy or AddRun recorded.
func (f *Fleet) RemoveCopy(host ident.HostID, p Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.servers[p.Backup]; b != nil {
		delete(b.copies, runKey{host, p.Run})
	}
}

// RemoveRun records that a run has ended and that its copy has been freed.
func (f *Fleet) RemoveRun(host ident.HostID, p Placement) {
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

// RemoveHost removes the runs and copies of a dead host. The engines stop these runs
// when the host's connections close.
func (f *Fleet) RemoveHost(host ident.HostID) {
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

// BeginRequest records that this node has sent a request to a server of a plain
// service. Each call must be followed by one call of EndRequest.
func (f *Fleet) BeginRequest(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outstanding++
}

// EndRequest records the end of a request that BeginRequest recorded.
func (f *Fleet) EndRequest(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outstanding--
}

// firstToken returns the expected time until s has read a prompt that is sent to it
// now. The lock of the Fleet must be held.
func (s *Server) firstToken(now time.Time, p Prompt) time.Duration {
	return s.queueWait(now, p.Rank) + s.scaledPrefill(s.prefillTime(p))
}

// prefillTime returns the time that an engine of nominal speed needs to read the part
// of a prompt that s does not hold. The lock of the Fleet must be held.
func (s *Server) prefillTime(p Prompt) time.Duration {
	tokens := p.Tokens - p.CopiedTokens
	if c, ok := s.cachedPrompts[p.SuffixHash]; ok && p.SuffixHash != 0 {
		tokens = min(tokens, max(uncachedTokens, p.Tokens-c.tokens))
	}
	return time.Duration(max(tokens, 1)) * prefillPerToken
}

// RecordCachedPrompts records prompts that an engine holds. prompts maps the hash of
// the last part of each prompt to the number of tokens of the prompt.
func (f *Fleet) RecordCachedPrompts(now time.Time, s *Server, prompts map[uint64]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for suffixHash, tokens := range prompts {
		s.cachedPrompts[suffixHash] = cachedPrompt{tokens: tokens, at: now}
	}
}

// IsPromptCached reports whether a usable engine of the service and version (empty for any)
// is recorded as holding the prompt whose last part has the given hash.
func (f *Fleet) IsPromptCached(now time.Time, service, version string, suffixHash uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if _, ok := s.cachedPrompts[suffixHash]; ok && s.runsVersion(version) && f.usable(s, service, now) {
			return true
		}
	}
	return false
}

// LikelyHolders returns up to limit servers of a service and version to which new work may
// be sent, in the order in which placement prefers them for the prompt whose last part has
// the given hash.
func (f *Fleet) LikelyHolders(now time.Time, service, version string, suffixHash uint64, limit int) []*Server {
	list := f.Accepting(now, service, version)
	slices.SortFunc(list, func(a, b *Server) int {
		return cmp.Compare(rendezvousHash(suffixHash, b), rendezvousHash(suffixHash, a))
	})
	return list[:min(limit, len(list))]
}

// Accepting returns the servers of a service and version (empty for any) to which new work
// may be sent, in no particular order.
func (f *Fleet) Accepting(now time.Time, service, version string) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Server
	for _, s := range f.servers {
		if s.runsVersion(version) && f.accepts(s, service, now) {
			list = append(list, s)
		}
	}
	return list
}
