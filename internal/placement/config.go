package placement

import (
	"cmp"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Defaults of Config.
const (
	DefaultPrefillRate = 8000 // tokens/s, until the server reports its own
	DefaultOutputRate  = 30   // tokens/s of one stream, likewise
	// DefaultExpectedOutputTokens is the output of a generation whose length
	// is not known.
	DefaultExpectedOutputTokens = 200
	DefaultResourceFactor       = 2.0
	DefaultStaleAfter           = 3 * time.Second
	DefaultStalePenalty         = 100 * time.Millisecond
	DefaultOtherRoundTrip       = 3 * time.Millisecond
	// DefaultSlack is the prefill of about 80 to 160 tokens. docs/placement.md
	// compares it with no limit: 69% against 36% of prompt tokens cached.
	DefaultSlack           = 20 * time.Millisecond
	DefaultFailuresToOpen  = 2
	DefaultOpenFor         = time.Second
	DefaultOpenForLimit    = 30 * time.Second
	DefaultProbeLimit      = 5 * time.Second
	DefaultCacheEntries    = 4096 // for each server; 32 bytes each
	DefaultPeerUseLifetime = 3 * time.Second
)

// Config holds the settings of placement. The zero value of a field selects
// its default.
type Config struct {
	// DataCentre is this node's.
	DataCentre ident.DataCentre
	// RoundTrips holds the round trip to other data centres; OtherRoundTrip is
	// used for those that are not in it.
	RoundTrips     map[ident.DataCentre]time.Duration
	OtherRoundTrip time.Duration
	// PrefillRate and OutputRate, in tokens/s, serve until a server reports.
	PrefillRate, OutputRate float64
	ExpectedOutputTokens    int
	// ResourceFactor is the cost of one millisecond of recomputed prefill
	// relative to one of latency, at weight 0.
	ResourceFactor float64
	// A report older than StaleAfter costs StalePenalty.
	StaleAfter, StalePenalty time.Duration
	// Slack is described at TwoChoices.
	Slack time.Duration
	// FailuresToOpen connection failures in a row open the breaker for
	// OpenFor, doubled at each failed probe up to OpenForLimit. A probe
	// without an outcome counts as failed after ProbeLimit.
	FailuresToOpen                    int
	OpenFor, OpenForLimit, ProbeLimit time.Duration
	// CacheEntries bounds the cache index of one server.
	CacheEntries int
	// PeerUseLifetime is how long a peer's count is used.
	PeerUseLifetime time.Duration
}

func (c Config) withDefaults() Config {
	c.OtherRoundTrip = cmp.Or(c.OtherRoundTrip, DefaultOtherRoundTrip)
	c.PrefillRate = cmp.Or(c.PrefillRate, DefaultPrefillRate)
	c.OutputRate = cmp.Or(c.OutputRate, DefaultOutputRate)
	c.ExpectedOutputTokens = cmp.Or(c.ExpectedOutputTokens, DefaultExpectedOutputTokens)
	c.ResourceFactor = cmp.Or(c.ResourceFactor, DefaultResourceFactor)
	c.StaleAfter = cmp.Or(c.StaleAfter, DefaultStaleAfter)
	c.StalePenalty = cmp.Or(c.StalePenalty, DefaultStalePenalty)
	c.Slack = cmp.Or(c.Slack, DefaultSlack)
	c.FailuresToOpen = cmp.Or(c.FailuresToOpen, DefaultFailuresToOpen)
	c.OpenFor = cmp.Or(c.OpenFor, DefaultOpenFor)
	c.OpenForLimit = cmp.Or(c.OpenForLimit, DefaultOpenForLimit)
	c.ProbeLimit = cmp.Or(c.ProbeLimit, DefaultProbeLimit)
	c.CacheEntries = cmp.Or(c.CacheEntries, DefaultCacheEntries)
	c.PeerUseLifetime = cmp.Or(c.PeerUseLifetime, DefaultPeerUseLifetime)
	return c
}

func (c Config) check() error {
	if c.PrefillRate < 0 || c.OutputRate < 0 || c.ResourceFactor < 0 || c.ExpectedOutputTokens < 0 {
		return newError(CodeInvalidConfig).Errorf("a rate, factor or count is negative")
	}
	if c.FailuresToOpen < 0 || c.OpenFor < 0 || c.OpenForLimit < c.OpenFor || c.ProbeLimit < 0 {
		return newError(CodeInvalidConfig).Errorf("breaker opens after %d failures for %v up to %v",
			c.FailuresToOpen, c.OpenFor, c.OpenForLimit)
	}
	if c.CacheEntries < 0 || c.PeerUseLifetime < 0 || c.StaleAfter < 0 || c.StalePenalty < 0 {
		return newError(CodeInvalidConfig).Errorf("a limit is negative")
	}
	return nil
}
