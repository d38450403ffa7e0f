// Package contract decodes and validates the TOML contract document of a team,
// and evaluates it: bearer keys, allowed models, quiet hours and requests that
// are not idempotent. The package holds no mutable state; a Contract may be used
// by any number of goroutines.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	// Embeds the time zone database, which entry hosts may lack.
	_ "time/tzdata"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Priority is the queueing class of a team's requests.
type Priority string

// Priorities, lowest first.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// KeyHash is the SHA-256 hash of a bearer key.
type KeyHash [sha256.Size]byte

// keyHashPrefix identifies the hash function in the text form of a KeyHash.
const keyHashPrefix = "sha256:"

// HashKey returns the hash of a bearer key.
func HashKey(bearerKey string) KeyHash { return sha256.Sum256([]byte(bearerKey)) }

// String returns the hash as it is written in a document.
func (h KeyHash) String() string { return keyHashPrefix + hex.EncodeToString(h[:]) }

// Contract is a validated contract document. It is immutable after Parse and may
// be used by any number of goroutines.
type Contract struct {
	Team     ident.Team
	Priority Priority
	// SharePercent is the maximum share of the fleet's capacity that the team
	// may use, in percent: above 0 and at most 100.
	SharePercent float64
	// Models lists the models that the team may use; if empty, all are allowed.
	Models []string

	keys          []KeyHash
	quietHours    []quietWindow
	nonIdempotent []nonIdempotentRule
}

// nonIdempotentRule matches requests that must not be executed more than once.
type nonIdempotentRule struct {
	service    string
	methods    []string // empty matches every method
	pathPrefix string
}

// KeyHashes returns the hashes of the team's bearer keys in the order of
// the document.
func (c *Contract) KeyHashes() []KeyHash { return slices.Clone(c.keys) }

// MatchesKey reports whether the bearer key belongs to the team. The comparison
// takes constant time: its duration depends neither on the key nor on which hash
// matches.
func (c *Contract) MatchesKey(bearerKey string) bool {
	hash := HashKey(bearerKey)
	match := 0
	for i := range c.keys {
		match |= subtle.ConstantTimeCompare(hash[:], c.keys[i][:])
	}
	return match == 1
}

// AllowsModel reports whether the team may use the model.
func (c *Contract) AllowsModel(model string) bool {
	return len(c.Models) == 0 || slices.Contains(c.Models, model)
}

// IsNonIdempotent reports whether a request to a plain service must not be
// executed more than once. A rule matches if its prefix matches the path as
// received, after cleaning, or after unescaping and cleaning, so that
// "//bookings" or "/%62ookings" does not evade the rule. Prefixes are compared
// by character, not by path segment: "/bookings" also matches "/bookings-v2".
func (c *Contract) IsNonIdempotent(service, method, requestPath string) bool {
	method = strings.ToUpper(method)
	for _, rule := range c.nonIdempotent {
		if rule.service != service {
			continue
		}
		if len(rule.methods) > 0 && !slices.Contains(rule.methods, method) {
			continue
		}
		if hasPathPrefix(requestPath, rule.pathPrefix) {
			return true
		}
	}
	return false
}

func hasPathPrefix(requestPath, prefix string) bool {
	rooted := "/" + strings.TrimPrefix(requestPath, "/")
	if strings.HasPrefix(rooted, prefix) || strings.HasPrefix(path.Clean(rooted), prefix) {
		return true
	}
	unescaped, err := url.PathUnescape(rooted)
	return err == nil && strings.HasPrefix(path.Clean(unescaped), prefix)
}

// QuietUntil reports whether new work for the target must be rejected at now
// and, if so, when the quiet period ends. The target is "model:NAME" or
// "service:NAME". Adjacent windows form one period. An end more than
// quietHorizon after now is reported as now plus quietHorizon.
func (c *Contract) QuietUntil(target string, now time.Time) (until time.Time, quiet bool) {
	until = now
	limit := now.Add(quietHorizon)
	for until.Before(limit) {
		end, ok := c.windowEnd(target, until)
		if !ok {
			break
		}
		until, quiet = end, true
	}
	if !quiet {
		return time.Time{}, false
	}
	if until.After(limit) {
		until = limit
	}
	return until, true
}

// windowEnd returns the latest end of the windows for the target that contain
// the instant at, if there is one.
func (c *Contract) windowEnd(target string, at time.Time) (time.Time, bool) {
	var latest time.Time
	for i := range c.quietHours {
		w := &c.quietHours[i]
		if !w.appliesTo(target) {
			continue
		}
		if end, ok := w.endAt(at); ok && end.After(latest) {
			latest = end
		}
	}
	return latest, !latest.IsZero()
}
