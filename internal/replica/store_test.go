package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

var (
	startTime     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ownerA        = &nodepb.Sender{HostId: "owner-a", Incarnation: 2}
	ownerAEarlier = &nodepb.Sender{HostId: "owner-a", Incarnation: 1}
	ownerB        = &nodepb.Sender{HostId: "owner-b", Incarnation: 1}
	head          = &nodepb.JournalHead{RequestId: "req-1", Body: []byte("{}")}
)

// applyUpdate stores one update and reports whether it was accepted.
func applyUpdate(s *Store, now time.Time, from *nodepb.Sender, u *nodepb.JournalUpdate) bool {
	return len(s.Apply(now, &nodepb.JournalBatch{Sender: from, Updates: []*nodepb.JournalUpdate{u}}).Unknown) == 0
}

// Guards against a copy that has a gap, or that contains tokens from an earlier copy,
// an earlier incarnation of the owner or another owner.
func TestStoreRejectsInconsistentUpdates(t *testing.T) {
	update := func(id, first int64, h *nodepb.JournalHead, tokens ...string) *nodepb.JournalUpdate {
		return &nodepb.JournalUpdate{GenerationId: "g", CopyId: id, FirstIndex: first, Head: h, Tokens: tokens}
	}
	steps := []struct {
		what   string
		from   *nodepb.Sender
		update *nodepb.JournalUpdate
		want   bool
		text   string
	}{
		{"no start", ownerA, update(2, 0, nil, "x"), false, ""},
		{"start", ownerA, update(2, 0, head, "a", "b"), true, "a b"},
		{"next", ownerA, update(2, 2, nil, "c"), true, "a b c"},
		{"repeated", ownerA, update(2, 1, nil, "b", "c", "d"), true, "a b c d"},
		{"old part", ownerA, update(2, 0, nil, "a"), true, "a b c d"},
		{"gap", ownerA, update(2, 5, nil, "f"), false, "a b c d"},
		{"negative", ownerA, update(2, -1, nil, "f"), false, "a b c d"},
		{"earlier copy", ownerA, update(1, 4, nil, "x"), false, "a b c d"},
		{"start of earlier copy", ownerA, update(1, 0, head, "x"), false, "a b c d"},
		{"start of earlier incarnation", ownerAEarlier, update(9, 0, head, "x"), false, "a b c d"},
		{"other owner", ownerB, update(2, 4, nil, "x"), false, "a b c d"},
		{"start by other owner", ownerB, update(1, 0, head, "a", "y"), true, "a y"},
		{"previous owner", ownerA, update(2, 2, nil, "x"), false, "a y"},
	}
	s := NewStore(1<<20, time.Minute)
	for _, step := range steps {
		if got := applyUpdate(s, startTime, step.from, step.update); got != step.want {
			t.Fatalf("%s: accepted is %v", step.what, got)
		}
		if j, _ := s.Fetch(startTime, "g"); strings.Join(j.Tokens, " ") != step.text {
			t.Fatalf("%s: copy is %q, want %q", step.what, j.Tokens, step.text)
		}
	}
}

// Guards against a store that exceeds its memory limit, or that evicts a copy in
// use to make room for another one, under random updates.
func TestStoreLimitAndRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, retention = 20_000, time.Minute
		s, now := NewStore(limit, retention), startTime
		type expected struct {
			tokens   []string
			finished bool
			changed  time.Time
		}
		model := map[string]*expected{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "generation"))
			e := model[id]
			if e != nil && now.Sub(e.changed) >= retention {
				delete(model, id)
				e = nil
			}
			u := &nodepb.JournalUpdate{GenerationId: id, Tokens: slices.Repeat([]string{"token "}, rapid.IntRange(0, 100).Draw(t, "tokens")), Finished: rapid.IntRange(0, 3).Draw(t, "finished") == 0}
			if e == nil {
				u.Head = head
				e = &expected{}
			}
			u.FirstIndex = int64(len(e.tokens))
			if applyUpdate(s, now, ownerA, u) {
				e.tokens, e.changed, e.finished = append(e.tokens, u.Tokens...), now, e.finished || u.Finished
				model[id] = e
			} else {
				delete(model, id)
			}
			if stats := s.Stats(); stats.Bytes > limit || stats.Bytes < 0 {
				t.Fatalf("store holds %d bytes, limit is %d", stats.Bytes, limit)
			}
			for id, e := range model {
				j, ok := s.Fetch(now, ident.GenerationID(id))
				inTime := now.Sub(e.changed) < retention
				switch {
				case !ok && inTime && !e.finished:
					t.Fatalf("copy %s was dropped while in use", id)
				case ok && (!inTime || !slices.Equal(j.Tokens, e.tokens)):
					t.Fatalf("copy %s holds %d tokens, want %d; in time: %v", id, len(j.Tokens), len(e.tokens), inTime)
				case !ok:
					delete(model, id)
				}
			}
		}
		if s.Apply(now.Add(retention), &nodepb.JournalBatch{}); s.Stats().Copies != 0 || s.Stats().Bytes != 0 {
			t.Fatalf("after retention the store holds %+v", s.Stats())
		}
	})
}
