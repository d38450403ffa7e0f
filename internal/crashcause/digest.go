package crashcause

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

// digestSum is a hash of evidence that does not depend on the order of its parts nor on ages:
// only on which crashes are known, which content was answered, and which crashes came before
// the answer.
type digestSum uint64

// Kinds of parts of a digest.
const (
	digestCrash    = "crash"
	digestAnswered = "answered"
	digestCleared  = "cleared"
)

// Digest returns a hash of the evidence, 0 if there is none. Two nodes with the same digest
// refuse the same content, as far as that depends on evidence. It is cheap while nothing
// changes.
func (t *Tracker) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.digestValid {
		t.digest, t.digestValid = t.computeDigest(), true
	}
	return t.digest
}

// computeDigest returns a hash of all evidence. The lock is held.
func (t *Tracker) computeDigest() uint64 {
	var sum digestSum
	for _, d := range t.byAge {
		for _, c := range d.contents {
			sum.addCrash(d, c.Request)
		}
		for k := range d.present {
			sum.addAnswer(d, k, t.answeredAt(k))
		}
	}
	if sum == 0 && len(t.byAge) > 0 {
		sum = 1 // 0 stands for no evidence
	}
	return uint64(sum)
}

// addCrash adds the crash of a request.
func (s *digestSum) addCrash(d *death, request quarantine.Fingerprint) {
	s.add(digestCrash, d, key{request: request})
}

// addAnswer adds what an answer to content says about a death.
func (s *digestSum) addAnswer(d *death, k key, answered time.Time) {
	if answered.IsZero() {
		return
	}
	s.add(digestAnswered, d, k)
	if d.at.Before(answered) {
		s.add(digestCleared, d, k)
	}
}

func (s *digestSum) add(kind string, d *death, k key) {
	b := make([]byte, 0, 128)
	b = append(b, kind...)
	b = append(b, 0)
	b = append(b, d.server...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(d.incarnation))
	b = binary.BigEndian.AppendUint64(b, k.part)
	b = append(b, k.request...)
	*s += digestSum(xxh3.Hash(b))
}
