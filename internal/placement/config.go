package placement

import (
	"cmp"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Defaults of Config.
const (
	DefaultPrefillRate = 8000 // tokens/s, until the server reports its own
	DefaultOutputRate  = 30   // tokens/s of one stream, until the server reports its own
	// DefaultExpectedOutputTokens is the assumed output of a generation, whose
	// length is not known in advance.
	DefaultExpectedOutputTokens = 200
	DefaultResourceFactor       = 2.0
	DefaultStaleAfter           = 3 * time.Second
	DefaultStalePenalty         = 100 * time.Millisecond
	DefaultOtherRoundTrip       = 3 * time.Millisecond
	// DefaultSlack is the prefill time of about 80 to 160 tokens. With it 69%
	// of the prompt tokens were cached, without a limit 36% (docs/placement.md).
	DefaultSlack             = 20 * time.Millisecond
	DefaultFailuresToOpen    = 2
	DefaultOpenFor           = time.Second
	DefaultOpenForLimit      = 30 * time.Second
	DefaultProbeLimit        = 5 * time.Second
	DefaultCacheEntries      = 4096 // per server; 32 bytes per entry
	DefaultPeerUsageLifetime = 3 * time.Second
)

// Config holds the settings of placement. The zero value of a field selects
// its default.
type Config struct {
	// DataCentre is the data centre of this node.
	DataCentre ident.DataCentre
	// RoundTrips is the round-trip time to each other data centre.
	// OtherRoundTrip applies to data centres that RoundTrips does not list.
	RoundTrips     map[ident.DataCentre]time.Duration
	OtherRoundTrip time.Duration
	// PrefillRate and OutputRate, in tokens/s, apply until a server reports its own.
	PrefillRate, OutputRate float64
	// ExpectedOutputTokens is the assumed output of a generation.
	ExpectedOutputTokens int
	// ResourceFactor is the cost of one millisecond of recomputed prefill
	// relative to one of latency, at weight 0.
	ResourceFactor float64
	// StalePenalty is added to the cost of a server without a load report or
	// with one older than StaleAfter.
	StaleAfter, StalePenalty time.Duration
	// Slack is the largest cost above that of the cheapest candidate at which
	// TwoChoices still considers a candidate; a negative value means no limit.
	Slack time.Duration
	// FailuresToOpen connection failures in a row open the breaker for
	// OpenFor, doubled at each failed probe up to OpenForLimit. A probe
	// without an outcome counts as failed after ProbeLimit.
	FailuresToOpen                    int
	OpenFor, OpenForLimit, ProbeLimit time.Duration
	// CacheEntries is the maximum number of entries in the cache index of one
	// server.
	CacheEntries int
	// PeerUsageLifetime is the age up to which a peer's usage report is used.
	PeerUsageLifetime time.Duration
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
	c.PeerUsageLifetime = cmp.Or(c.PeerUsageLifetime, DefaultPeerUsageLifetime)
	return c
}

func (c Config) check() error {
	if c.PrefillRate < 0 || c.OutputRate < 0 || c.ResourceFactor < 0 || c.ExpectedOutputTokens < 0 {
		return newError(CodeInvalidConfig).Errorf("negative rate, resource factor or expected output in the placement settings")
	}
	if c.FailuresToOpen < 0 || c.OpenFor < 0 || c.OpenForLimit < c.OpenFor || c.ProbeLimit < 0 {
		return newError(CodeInvalidConfig).Errorf("breaker settings out of range: %d failures to open, open for %v up to %v, probe limit %v",
			c.FailuresToOpen, c.OpenFor, c.OpenForLimit, c.ProbeLimit)
	}
	if c.CacheEntries < 0 || c.PeerUsageLifetime < 0 || c.StaleAfter < 0 || c.StalePenalty < 0 {
		return newError(CodeInvalidConfig).Errorf("negative cache size, peer usage lifetime, staleness limit or penalty in the placement settings")
	}
	return nil
}
