// Package engine is a stand-in for a model engine that follows
// docs/backend-protocol.md. It generates the text of package chain.
package engine

import (
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// Config sets up an engine. DefaultConfig returns usable values.
type Config struct {
	// Models are loaded at the start.
	Models []backendapi.LoadedModel
	Role   string
	// Salt picks the words of the generated text. Engines should differ in it.
	Salt uint64
	// Incarnation is reported in load, cache events and state.
	Incarnation int64

	MaxRunning             int // largest batch
	MaxWaiting             int // longest queue; beyond it requests get 503
	PrefillTokensPerSecond float64
	TokenInterval          time.Duration // between tokens of one stream

	CacheBlocks        int // size of the prefix cache in blocks
	CacheEventDelay    time.Duration
	CacheEventLossRate float64 // 0 to 1; a lost event leaves a gap

	// Retention is how long a stream without a reader is kept.
	Retention time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// LoadTime is how long loading one model, version or adapter set takes.
	LoadTime time.Duration
	// CheckFencing refuses orders with an old fencing token.
	CheckFencing bool

	// CrashOn ends the process through Crash when a request whose prompt
	// contains this text enters the batch. Empty: never.
	CrashOn string
	Crash   func()
}

// DefaultConfig returns the configuration of a middling engine without models.
func DefaultConfig() Config {
	return Config{
		MaxRunning:             256,
		MaxWaiting:             1024,
		PrefillTokensPerSecond: 8000,
		TokenInterval:          time.Second / 17,
		CacheBlocks:            16384,
		Retention:              30 * time.Second,
		LoadTime:               5 * time.Second,
		CheckFencing:           true,
		Crash:                  func() {},
	}
}

func (c Config) check() error {
	switch {
	case c.MaxRunning < 1:
		return fmt.Errorf("largest batch must be at least 1, is %d", c.MaxRunning)
	case c.MaxWaiting < 0:
		return fmt.Errorf("longest queue must not be negative, is %d", c.MaxWaiting)
	case c.PrefillTokensPerSecond <= 0:
		return fmt.Errorf("prefill rate must be positive, is %g", c.PrefillTokensPerSecond)
	case c.TokenInterval <= 0:
		return fmt.Errorf("token interval must be positive, is %s", c.TokenInterval)
	case c.CacheBlocks < 0:
		return fmt.Errorf("cache size must not be negative, is %d", c.CacheBlocks)
	case c.CacheEventLossRate < 0 || c.CacheEventLossRate > 1:
		return fmt.Errorf("loss rate of cache events must be from 0 to 1, is %g", c.CacheEventLossRate)
	case c.Retention <= 0:
		return fmt.Errorf("retention must be positive, is %s", c.Retention)
	}
	return nil
}
