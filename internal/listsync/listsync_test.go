package listsync

import (
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

var start = time.Unix(1_000_000, 0)

func position(revision int64) ident.StorePosition {
	return ident.StorePosition{Era: 1, Revision: revision}
}

// Guards against reading the list because of a change on its way, or because of a peer whose
// build tells no digest, and against missing a difference.
func TestDiffers(t *testing.T) {
	own := Summary{Read: position(100), Changed: position(90), Digest: 5}
	for _, test := range []struct {
		name           string
		peer           Summary
		differs, known bool
	}{
		{"the same servers", Summary{Read: position(120), Changed: position(90), Digest: 5}, false, true},
		{"other servers", Summary{Read: position(120), Changed: position(80), Digest: 6}, true, true},
		{"a change that this node lacks", Summary{Read: position(120), Changed: position(110), Digest: 6}, false, false},
		{"the peer has not read a change", Summary{Read: position(85), Changed: position(80), Digest: 6}, false, false},
		{"no digest", Summary{Read: position(120), Changed: position(90)}, false, false},
		{"another era", Summary{Read: ident.StorePosition{Era: 2, Revision: 100}, Digest: 6}, false, false},
	} {
		if differs, known := own.Differs(test.peer); differs != test.differs || known != test.known {
			t.Errorf("%s: differs %t, known %t", test.name, differs, known)
		}
	}
}

// observe compares every 100 ms and returns the times of reads in ms.
func observe(m *Monitor, hosts int, reader bool, from, to int, differs func(ms int) bool) (reads []int) {
	for ms := from; ms < to; ms += 100 {
		if m.Observe(start.Add(time.Duration(ms)*time.Millisecond), "p", differs(ms), hosts, reader) {
			reads = append(reads, ms)
		}
	}
	return reads
}

// Guards against a difference that lasts, a read for one that ends by itself, and reads
// without end for one that a read does not end.
func TestMonitor(t *testing.T) {
	always := func(int) bool { return true }
	var m Monitor
	if reads := observe(&m, 6, false, 0, 20_000, always); len(reads) != 4 || reads[0] != 300 {
		t.Errorf("reads at %v ms", reads)
	}
	m = Monitor{Place: 1}
	if reads := observe(&m, 300, false, 0, 1700, always); len(reads) != 1 {
		t.Errorf("the last of 300 hosts reads at %v ms", reads)
	}
	m = Monitor{Place: 1}
	if reads := observe(&m, 6, true, 0, 1300, always); len(reads) != 1 || reads[0] < 1000 {
		t.Errorf("the reader reads at %v ms", reads)
	}
	m = Monitor{}
	if reads := observe(&m, 6, false, 0, 5000, func(ms int) bool { return ms%400 < 200 }); len(reads) > 0 {
		t.Errorf("reads at %v ms for short differences", reads)
	}
	m = Monitor{}
	if reads := observe(&m, 6, false, 0, 10_000, func(ms int) bool { return ms%1000 < 500 }); len(reads) != 10 {
		t.Errorf("%d reads for ten differences", len(reads))
	}
}
