package crashcause

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkVerdict measures one decision while maxCrashes crashes are kept, 400 of them
// by one part: for a request with other parts, for one with the same first part, and for
// one that is refused.
func BenchmarkVerdict(b *testing.B) {
	var c Tracker
	for i := range maxCrashes {
		content := request(fmt.Sprint("victim", i), uint64(100+i))
		if i%10 == 0 {
			content = request(fmt.Sprint("r", i), firstPart, deadlyPart)
		}
		c.Add(at(i), crash(fmt.Sprintf("b%d", i), content))
	}
	now := at(maxCrashes).Add(time.Second)
	for name, content := range map[string]Content{
		"other parts":     request("new", 10, 11),
		"same first part": request("new", firstPart),
		"refused":         request("new", firstPart, deadlyPart),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.Verdict(now, content, servers{})
			}
		})
	}
}

// BenchmarkDigest measures the digest after a change, with as many crashes as are kept.
func BenchmarkDigest(b *testing.B) {
	var c Tracker
	for i := range maxCrashes {
		c.Add(start, crash(fmt.Sprintf("b%d", i/32), request(fmt.Sprint("r", i), uint64(1+i%200), uint64(1000+i))))
	}
	for b.Loop() {
		c.digestValid = false
		c.Digest(start)
	}
}
