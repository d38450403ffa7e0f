// Package retrybudget bounds the resumes of a node as a fraction of its new
// work by a token bucket, so that repeated losses do not multiply the load.
//
// One token is one resume. Times are the node's own clock. A Budget is owned
// by one goroutine or guarded by its owner's lock.
package retrybudget

import "time"

// Defaults of Config. Section 3.2 of docs/design.md gives the reasons.
const (
	DefaultBase          = 10.0 // tokens
	DefaultPerGeneration = 0.2  // tokens for each new generation
	DefaultPerSecond     = 1.0  // tokens
)

// Config holds the settings of a Budget. The zero value of a field selects its
// default.
type Config struct {
	// Base is the capacity without generations in flight. Each generation in
	// flight adds one, so that the loss of any part of them resumes at once.
	Base float64
	// PerGeneration is gained with each new generation.
	PerGeneration float64
	// PerSecond is gained with time.
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
	// when the capacity grows, so that generations that start within seconds
	// are covered; a bucket that is not full gains PerGeneration only, so that
	// repeated losses stay bounded.
	level float64
	last  time.Time
}

// New returns a full budget.
func New(config Config, now time.Time) (*Budget, error) {
	config = config.withDefaults()
	if config.Base < 1 || config.PerGeneration < 0 || config.PerSecond <= 0 {
		return nil, newError(CodeInvalidConfig).Errorf(
			"base %v must be at least 1, gain for each generation %v not negative and gain per second %v positive",
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

// Take spends one token for a resume. If there is none, nothing is spent and
// wait is the time until one has been gained if no generation starts before.
// Several waiting resumes get the same time; they call Take again after it,
// in the order of their losses.
func (b *Budget) Take(now time.Time) (ok bool, wait time.Duration) {
	b.advance(now)
	// Gains of 0.2 add up with rounding errors, which must not cost a token.
	const rounding = 1e-9
	if b.level < 1-rounding {
		seconds := (1 - b.level) / b.config.PerSecond
		// One nanosecond more covers the rounding of the conversion.
		return false, time.Duration(seconds*float64(time.Second)) + 1
	}
	b.level = max(b.level-1, 0)
	return true, 0
}

// Left returns the tokens in the bucket as of the last input.
func (b *Budget) Left() float64 { return b.level }

func (b *Budget) capacity() float64 { return b.config.Base + float64(b.inFlight) }

func (b *Budget) gain(tokens float64) { b.level = min(b.level+tokens, b.capacity()) }

// advance gains tokens for the time passed. Time that goes back gains none.
func (b *Budget) advance(now time.Time) {
	if passed := now.Sub(b.last); passed > 0 {
		b.gain(passed.Seconds() * b.config.PerSecond)
	}
	b.last = now
}
