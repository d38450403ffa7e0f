package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/lab/labtest"
)

// Guards against a fast path that returns a different text than the JSON decoder.
func TestPlainTextAgreesWithJSON(t *testing.T) {
	labtest.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.SampledFrom([]string{" w1-2-00000000", `"text":"x`, `},"finish_reason":null}]}`}),
			rapid.String()).Draw(t, "text")
		choice := callerapi.Choice{Text: &text}
		if rapid.Bool().Draw(t, "chat") {
			choice = callerapi.Choice{Delta: &callerapi.Delta{Role: "assistant", Content: text}}
		}
		if rapid.Bool().Draw(t, "last") {
			choice.FinishReason = &text
		}
		data, err := json.Marshal(callerapi.Chunk{ID: text, Choices: []callerapi.Choice{choice}})
		if err != nil {
			t.Fatal(err)
		}
		got, ok := plainText(data)
		if ok && (string(got) != text || choice.FinishReason != nil) {
			t.Fatalf("%s: read %q", data, got)
		}
		if text == " w1-2-00000000" && choice.FinishReason == nil && !ok {
			t.Fatalf("%s: fast path not taken for a common event", data)
		}
	})
}

// Guards against an allocation per event, which would make the caller the
// bottleneck of a load run.
func TestEventsDoNotAllocate(t *testing.T) {
	const tokens = 1000
	prompt := "q length=1000"
	var stream strings.Builder
	for _, token := range generate(prompt, 1, nil) {
		data, _ := json.Marshal(callerapi.Chunk{Choices: []callerapi.Choice{{Text: &token}}})
		stream.WriteString("id: 0123456789\ndata: " + string(data) + "\n\n")
	}
	allocs := testing.AllocsPerRun(5, func() {
		g := &generation{verify: NewVerifier(prompt, 0), req: Request{Observe: func(TokenArrival) {}}}
		events := newSSEReader(strings.NewReader(stream.String()))
		for range tokens {
			e, err := events.next()
			if err != nil {
				t.Fatal(err)
			}
			if f := g.handleEvent(e); f != nil {
				t.Fatal(f)
			}
		}
		if !g.verify.Clean() || g.verify.Counts().Tokens != tokens {
			t.Fatalf("counts %+v", g.verify.Counts())
		}
	})
	if allocs > tokens/10 {
		t.Errorf("%g allocations for %d events", allocs, tokens)
	}
}
