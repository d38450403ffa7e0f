// Package engine simulates a model engine that implements the protocol of
// docs/backend-protocol.md. It generates the text that package chain defines. All
// data is in memory. An Engine is safe for concurrent use.
package engine

import (
	"fmt"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// Config configures an Engine. DefaultConfig returns usable values.
type Config struct {
	// Models are the models that are loaded at the start.
	Models []backendapi.LoadedModel
	// Role is the initial role; an order may change it.
	Role string
	// Salt selects the words of the generated text; engines should use different
	// values. It also seeds the random loss of cache events.
	Salt uint64
	// Incarnation is reported in load, cache events and state.
	Incarnation int64

	MaxRunning             int // maximum batch size
	MaxWaiting             int // maximum queue length; further requests get 503
	PrefillTokensPerSecond float64
	TokenInterval          time.Duration // time between tokens of one stream

	CacheBlocks        int // size of the prefix cache in blocks
	CacheEventDelay    time.Duration
	CacheEventLossRate float64 // 0 to 1; a lost event leaves a gap in the sequence

	// Retention is how long a stream without a reader is kept.
	Retention time.Duration
	// LoadLag is the age that load reports have when they are returned.
	LoadLag time.Duration
	// LoadTime is how long loading one model, version or adapter set takes.
	LoadTime time.Duration
	// CheckFencing makes the engine reject orders with an old fencing token.
	CheckFencing bool

	// CrashOn is a text that makes the engine call Crash when a request whose
	// prompt contains it enters the batch. If empty, Crash is never called.
	CrashOn string
	Crash   func()
}

// DefaultConfig returns the configuration of an engine of medium size without
// models.
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
