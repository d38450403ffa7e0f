package trace

import (
	"strings"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// texts holds what the sessions of each generation released, to compare it with
// what later sessions continue from.
type texts map[ident.GenerationID][]releasedText

// releasedText is the answer as one session released it.
type releasedText struct {
	tokens   []string
	released int
	// known is the first count of tokens for which tokens give the text: a
	// journal that began with the caller's text has all of it in one token.
	known int
}

// check compares the text that the caller had at the start of a session with
// the same part of the earlier ones. A text that only one of them had is not
// compared: the other may have been lost before it was released.
func (t texts) check(c *checker, line int, header *Header) {
	c.line = line
	count := header.Start.Released
	own := strings.Join(header.Start.Tokens[:count], "")
	for _, earlier := range t[header.Generation] {
		if count < earlier.known || count > earlier.released {
			continue
		}
		if strings.Join(earlier.tokens[:count], "") != own {
			c.violated(RuleSameText, "the caller's first %d tokens are not those that an earlier session released", count)
		}
	}
}

func (t texts) add(generation ident.GenerationID, text releasedText) {
	text.released = min(text.released, len(text.tokens))
	t[generation] = append(t[generation], text)
}

// acceptedText returns the text of a token that the recorded actions accepted.
func acceptedText(step *Step) (string, bool) {
	token, ok := step.Event.(continuation.Token)
	if !ok {
		return "", false
	}
	for _, action := range step.Actions {
		if _, ok := action.(continuation.Replicate); ok {
			return token.Text, true
		}
	}
	return "", false
}
