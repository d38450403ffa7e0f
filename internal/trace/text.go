package trace

import (
	"strings"

	"github.com/yuccahatch/yuccahatch/internal/continuation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// releasedTexts holds the texts that the sessions of each generation released.
// Later sessions of a generation are compared with them.
type releasedTexts map[ident.GenerationID][]releasedText

// releasedText is the text of an answer that one session released.
type releasedText struct {
	tokens   []string
	released int
	// minComparable is the number of tokens at the start of the session. A shorter
	// prefix of tokens cannot be compared: a journal that was created from the text
	// that the caller had holds all of this text in one token.
	minComparable int
}

// check compares the text that the caller had at the start of a session with the
// first tokens of earlier sessions, as many as the caller had. An earlier session
// that released fewer tokens is skipped, since its further tokens may have been
// lost before they were released.
func (t releasedTexts) check(c *checker, line int, header *Header) {
	c.line = line
	count := header.Start.Released
	own := strings.Join(header.Start.Tokens[:count], "")
	for _, earlier := range t[header.Generation] {
		if count < earlier.minComparable || count > earlier.released {
			continue
		}
		if strings.Join(earlier.tokens[:count], "") != own {
			c.addViolation(RuleSameText, "the caller's first %d tokens are not those that an earlier session released", count)
		}
	}
}

func (t releasedTexts) add(generation ident.GenerationID, text releasedText) {
	text.released = min(text.released, len(text.tokens))
	t[generation] = append(t[generation], text)
}

// acceptedText returns the text of a token that was accepted according to the
// recorded actions.
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
