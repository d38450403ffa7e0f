// Package retrybudget limits the resumes of a node by a token bucket that gains a
// fraction of a token with each new generation and further tokens over time, so that
// repeated losses do not multiply the load.
//
// Each resume takes one token. Times are those of the node's own clock. A Budget is
// not safe for concurrent use: it is used by one goroutine or guarded by its owner's
// lock.
package retrybudget

import "time"

// Defaults of Config. Section 3.2 of docs/design.md gives the reasons.
const (
	DefaultBase          = 10.0 // tokens
	DefaultPerGeneration = 0.2  // tokens per new generation
	DefaultPerSecond     = 1.0  // tokens per second
)

// Config holds the settings of a Budget. The zero value of a field selects its
// default.
type Config struct {
	// Base is the capacity of the bucket in tokens without generations in
	// flight. Each generation in flight adds one token to the capacity, so that
	// all lost generations can resume at once from a full bucket.
	Base float64
	// PerGeneration is the number of tokens added with each new generation.
	PerGeneration float64
	// PerSecond is the number of tokens added per second.
	PerSecond float64
}

func (c Config) withDefaults() Config {
	if c.Base == 0 {
		c.Base = DefaultBase
	}
	if c.PerGeneration == 0 {
		c.PerGeneration = DefaultPerGeneration
	}
	if c.PerSecond == 0 {
		c.PerSecond = DefaultPerSecond
	}
	return c
}

// Budget is the token bucket of one node.
type Budget struct {
	config   Config
	inFlight int
	// level is the number of tokens in the bucket. A full bucket stays full
	// when the capacity grows, so that many generations that start within
	// seconds can all be resumed. A bucket that is not full gains only
	// PerGeneration for each new generation, which bounds the resumes after
	// repeated losses.
	level float64
	last  time.Time // time of the last update of level
}

// New returns a Budget with a full bucket.
func New(config Config, now time.Time) (*Budget, error) {
	config = config.withDefaults()
	if config.Base < 1 || config.PerGeneration < 0 || config.PerSecond <= 0 {
		return nil, newError(CodeInvalidConfig).Errorf(
			"base %v must be at least 1, tokens per generation %v must not be negative, and tokens per second %v must be positive",
			config.Base, config.PerGeneration, config.PerSecond)
	}
	return &Budget{config: config, level: config.Base, last: now}, nil
}

// Started records a new generation. Resumes are not new generations.
func (b *Budget) Started(now time.Time) {
	b.advance(now)
	full := b.level >= b.capacity()
	b.inFlight++
	if full {
		b.level = b.capacity()
	} else {
		b.gain(b.config.PerGeneration)
	}
}

// Ended records the end of a generation for any reason.
func (b *Budget) Ended(now time.Time) {
	b.advance(now)
	if b.inFlight > 0 {
		b.inFlight--
	}
	b.level = min(b.level, b.capacity())
}

// Take takes one token for a resume and reports whether there was one. If not, it
// returns the time until the next token is available if no generation starts
// earlier. Several waiting resumes get the same time. The caller calls Take again
// after that time, for the resumes in the order in which their generations were
// lost.
func (b *Budget) Take(now time.Time) (ok bool, wait time.Duration) {
	b.advance(now)
	// Adding 0.2 repeatedly causes rounding errors, which must not withhold a token.
	const rounding = 1e-9
	if b.level < 1-rounding {
		seconds := (1 - b.level) / b.config.PerSecond
		// One nanosecond more covers the rounding of the conversion.
		return false, time.Duration(seconds*float64(time.Second)) + 1
	}
	b.level = max(b.level-1, 0)
	return true, 0
}

// Left returns the number of tokens in the bucket as of the last call that passed
// a time.
func (b *Budget) Left() float64 { return b.level }

func (b *Budget) capacity() float64 { return b.config.Base + float64(b.inFlight) }

func (b *Budget) gain(tokens float64) { b.level = min(b.level+tokens, b.capacity()) }

// advance adds the tokens for the time passed since the last call. A clock that
// was set back adds none.
func (b *Budget) advance(now time.Time) {
	if passed := now.Sub(b.last); passed > 0 {
		b.gain(passed.Seconds() * b.config.PerSecond)
	}
	b.last = now
}
