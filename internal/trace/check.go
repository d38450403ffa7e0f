package trace

import (
	"fmt"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Violation is a recorded step that breaks a rule of the answer.
type Violation struct {
	Line   int    `json:"line"`
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Rules that a session is checked against.
const (
	// RuleAcceptance: a token is accepted exactly if it comes from an attempt
	// that may feed the journal and its index equals the journal's length.
	RuleAcceptance = "acceptance"
	// RuleAttempt: an attempt is opened once, and at the journal's length.
	RuleAttempt = "attempt"
	// RuleRelease: tokens are released in order, none missing, none repeated,
	// and with acknowledged copies none before its acknowledgement.
	RuleRelease = "release"
	// RuleEnd: an answer finishes once, and only when the caller has all of it.
	RuleEnd = "end"
)

// checker judges the recorded actions by the rules alone. It must not use the
// state machine: a fault of the machine shows as a violation here even if
// replaying it gives the same actions.
type checker struct {
	line       int
	violations []Violation

	// live holds the attempts that may deliver the next token: those opened and
	// neither cancelled nor beaten by another one.
	live map[ident.AttemptID]bool
	seen map[ident.AttemptID]bool
	// tokens is the journal's length.
	tokens   int
	released int
	// complete tells that the journal holds the last token.
	complete  bool
	ended     bool
	holdBack  bool
	protected bool
	acked     int

	missing  int
	repeated int
}

func newChecker(header *Header) *checker {
	c := &checker{
		live:      map[ident.AttemptID]bool{},
		seen:      map[ident.AttemptID]bool{},
		tokens:    len(header.Start.Tokens),
		released:  header.Start.Released,
		complete:  header.Start.Finished != "",
		holdBack:  header.Config.ReleaseAfterAck,
		protected: true,
		acked:     len(header.Start.Tokens),
	}
	if header.Start.Attempt != "" && !c.complete {
		c.live[header.Start.Attempt] = true
		c.seen[header.Start.Attempt] = true
	}
	return c
}

func (c *checker) violated(rule, format string, args ...any) {
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
		c.violated(RuleAcceptance, "an event without a token changed the journal")
	}
	c.event(step.Event)
	for _, action := range step.Actions {
		c.action(action)
	}
}

// token applies the acceptance rule.
func (c *checker) token(t continuation.Token, accepted, discarded int) {
	if accepted+discarded != 1 {
		c.violated(RuleAcceptance, "token %d of attempt %s was accepted %d and discarded %d times", t.Index, t.Attempt, accepted, discarded)
	}
	reason := ""
	switch {
	case c.ended || c.complete:
		reason = "the answer is complete"
	case !c.live[t.Attempt]:
		reason = "the attempt may not feed the journal"
	case t.Index != c.tokens:
		reason = fmt.Sprintf("the journal has %d tokens", c.tokens)
	}
	switch {
	case reason == "" && accepted == 0:
		c.violated(RuleAcceptance, "token %d of attempt %s was discarded although the rule accepts it", t.Index, t.Attempt)
	case reason != "" && accepted > 0:
		c.violated(RuleAcceptance, "token %d of attempt %s was accepted although %s", t.Index, t.Attempt, reason)
	}
	if accepted == 0 {
		return
	}
	c.tokens++
	c.only(t.Attempt)
	c.complete = c.complete || t.Finish != ""
}

// only ends the race of attempts: the winner alone may feed the journal.
func (c *checker) only(winner ident.AttemptID) {
	clear(c.live)
	c.live[winner] = true
}

func (c *checker) event(event continuation.Event) {
	switch e := event.(type) {
	case continuation.Acknowledged:
		c.acked = max(c.acked, min(e.Tokens, c.tokens))
	case continuation.Protection:
		c.protected = e.Available
	case continuation.Ended:
		if c.live[e.Attempt] && c.tokens > 0 && !c.complete {
			c.only(e.Attempt)
			c.complete = true
		}
	}
}

func (c *checker) action(action continuation.Action) {
	switch a := action.(type) {
	case continuation.Open:
		if c.seen[a.Attempt] || a.Tokens != c.tokens {
			c.violated(RuleAttempt, "attempt %s was opened again or at token %d of a journal of %d", a.Attempt, a.Tokens, c.tokens)
		}
		c.seen[a.Attempt] = true
		c.live[a.Attempt] = true
	case continuation.Reconnect:
		if !c.live[a.Attempt] || a.From != c.tokens {
			c.violated(RuleAttempt, "attempt %s was reconnected at token %d of a journal of %d", a.Attempt, a.From, c.tokens)
		}
	case continuation.Replicate:
		if a.Index != c.tokens-1 {
			c.violated(RuleAcceptance, "token %d was copied as the last of %d", a.Index, c.tokens)
		}
	case continuation.Cancel:
		delete(c.live, a.Attempt)
	case continuation.Detach:
		delete(c.live, a.Attempt)
	case continuation.Release:
		c.release(a)
	case continuation.Finish:
		if c.ended || !c.complete || c.released != c.tokens {
			c.violated(RuleEnd, "finished with %d of %d tokens released, last token known: %t", c.released, c.tokens, c.complete)
		}
		c.ended = true
	case continuation.Fail, continuation.End:
		if c.ended {
			c.violated(RuleEnd, "the session ended twice")
		}
		c.ended = true
	}
}

func (c *checker) release(r continuation.Release) {
	limit := c.tokens
	if c.holdBack && c.protected {
		limit = c.acked
	}
	if c.ended || r.From != c.released || r.To <= r.From || r.To > limit {
		c.violated(RuleRelease, "tokens %d to %d were released; the caller had %d, %d could be released", r.From, r.To, c.released, limit)
	}
	c.missing += max(0, r.From-c.released)
	c.repeated += max(0, min(r.To, c.released)-r.From)
	c.released = max(c.released, r.To)
}
