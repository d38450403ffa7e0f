package trace

import (
	"fmt"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Violation is a recorded step that violates one of the rules below.
type Violation struct {
	Line   int    `json:"line"`
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Rules that a session is checked against.
const (
	// RuleAcceptance: a token is accepted if and only if it comes from an attempt
	// that may append to the journal and its index equals the journal's length.
	RuleAcceptance = "acceptance"
	// RuleAttempt: an attempt is opened only once, at the current length of the journal.
	RuleAttempt = "attempt"
	// RuleRelease: tokens are released in order, without gaps or repetitions, and,
	// if releases wait for acknowledgements, not before their copy is acknowledged.
	RuleRelease = "release"
	// RuleEnd: an answer finishes only once, and only after all of its tokens were
	// released to the caller.
	RuleEnd = "end"
	// RuleSameText: the text that the caller had at the start of a session is the
	// beginning of the text that an earlier session of the generation released.
	RuleSameText = "same_text"
)

// checker checks the recorded actions against the rules. It must not use the state
// machine, so that a fault in the machine is reported as a violation even if a
// replay produces the same actions.
type checker struct {
	line       int
	violations []Violation

	// active holds the attempts that may deliver the next token: those that were
	// opened and have neither been cancelled nor lost the race to another attempt.
	active map[ident.AttemptID]bool
	// opened holds all attempts that the session opened or began with, including
	// those that have ended.
	opened map[ident.AttemptID]bool
	// tokens is the length of the journal; released is the number of its tokens that
	// the caller has.
	tokens   int
	released int
	// complete reports whether the journal holds the last token.
	complete        bool
	ended           bool
	releaseAfterAck bool
	// protected reports whether a replica can be reached. Only then must releases
	// wait for acknowledgements.
	protected bool
	// acked is the number of tokens that a replica has acknowledged.
	acked int

	// missing and repeated count the tokens that releases skipped or sent again.
	missing  int
	repeated int
}

func newChecker(header *Header) *checker {
	c := &checker{
		active:          map[ident.AttemptID]bool{},
		opened:          map[ident.AttemptID]bool{},
		tokens:          len(header.Start.Tokens),
		released:        header.Start.Released,
		complete:        header.Start.Finished != "",
		releaseAfterAck: header.Config.ReleaseAfterAck,
		protected:       true,
		acked:           len(header.Start.Tokens),
	}
	if header.Start.Attempt != "" && !c.complete {
		c.active[header.Start.Attempt] = true
		c.opened[header.Start.Attempt] = true
	}
	return c
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Line: c.line, Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) step(line int, step *Step) {
	c.line = line
	accepted, discarded := 0, 0
	for _, action := range step.Actions {
		switch action.(type) {
		case continuation.Replicate:
			accepted++
		case continuation.Discarded:
			discarded++
		}
	}
	token, isToken := step.Event.(continuation.Token)
	switch {
	case isToken:
		c.token(token, accepted, discarded)
	case accepted+discarded > 0:
		c.addViolation(RuleAcceptance, "an event without a token changed the journal")
	}
	c.event(step.Event)
	for _, action := range step.Actions {
		c.action(action)
	}
}

// token checks a token event against RuleAcceptance.
func (c *checker) token(t continuation.Token, accepted, discarded int) {
	if accepted+discarded != 1 {
		c.addViolation(RuleAcceptance, "token %d of attempt %s was accepted %d and discarded %d times", t.Index, t.Attempt, accepted, discarded)
	}
	reason := ""
	switch {
	case c.ended || c.complete:
		reason = "the answer is complete"
	case !c.active[t.Attempt]:
		reason = "the attempt may not append to the journal"
	case t.Index != c.tokens:
		reason = fmt.Sprintf("the journal has %d tokens", c.tokens)
	}
	switch {
	case reason == "" && accepted == 0:
		c.addViolation(RuleAcceptance, "token %d of attempt %s was discarded although the rule accepts it", t.Index, t.Attempt)
	case reason != "" && accepted > 0:
		c.addViolation(RuleAcceptance, "token %d of attempt %s was accepted although %s", t.Index, t.Attempt, reason)
	}
	if accepted == 0 {
		return
	}
	c.tokens++
	c.selectWinner(t.Attempt)
	c.complete = c.complete || t.Finish != ""
}

// selectWinner ends the race between attempts: from now on only the winner may
// append to the journal.
func (c *checker) selectWinner(winner ident.AttemptID) {
	clear(c.active)
	c.active[winner] = true
}

func (c *checker) event(event continuation.Event) {
	switch e := event.(type) {
	case continuation.Acknowledged:
		c.acked = max(c.acked, min(e.Tokens, c.tokens))
	case continuation.Protection:
		c.protected = e.Available
	case continuation.Ended:
		if c.active[e.Attempt] && c.tokens > 0 && !c.complete {
			c.selectWinner(e.Attempt)
			c.complete = true
		}
	}
}

func (c *checker) action(action continuation.Action) {
	switch a := action.(type) {
	case continuation.Open:
		if c.opened[a.Attempt] || a.Tokens != c.tokens {
			c.addViolation(RuleAttempt, "attempt %s was opened again or at token %d of a journal of %d", a.Attempt, a.Tokens, c.tokens)
		}
		c.opened[a.Attempt] = true
		c.active[a.Attempt] = true
	case continuation.Reconnect:
		if !c.active[a.Attempt] || a.From != c.tokens {
			c.addViolation(RuleAttempt, "attempt %s was reconnected at token %d of a journal of %d", a.Attempt, a.From, c.tokens)
		}
	case continuation.Replicate:
		if a.Index != c.tokens-1 {
			c.addViolation(RuleAcceptance, "token %d was replicated as the last of %d tokens", a.Index, c.tokens)
		}
	case continuation.Cancel:
		delete(c.active, a.Attempt)
	case continuation.Detach:
		delete(c.active, a.Attempt)
	case continuation.Release:
		c.release(a)
	case continuation.Finish:
		if c.ended || !c.complete || c.released != c.tokens {
			c.addViolation(RuleEnd, "finished with %d of %d tokens released, last token known: %t", c.released, c.tokens, c.complete)
		}
		c.ended = true
	case continuation.Fail, continuation.End:
		if c.ended {
			c.addViolation(RuleEnd, "the session ended twice")
		}
		c.ended = true
	}
}

func (c *checker) release(r continuation.Release) {
	limit := c.tokens
	if c.releaseAfterAck && c.protected {
		limit = c.acked
	}
	if c.ended || r.From != c.released || r.To <= r.From || r.To > limit {
		c.addViolation(RuleRelease, "tokens %d to %d were released; the caller had %d, %d could be released", r.From, r.To, c.released, limit)
	}
	c.missing += max(0, r.From-c.released)
	c.repeated += max(0, min(r.To, c.released)-r.From)
	c.released = max(c.released, r.To)
}
