package fleet

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Departed identifies the last known report of a server that was removed.
type Departed struct {
	ID          ident.BackendID `json:"i"`
	Incarnation int64           `json:"b"`
	Sequence    int64           `json:"q"`
}

// departure is a server that was removed at a time.
type departure struct {
	Departed
	at time.Time
}

// covers reports whether a row is not newer than the last report of the server. Rows
// without an incarnation cannot be compared, since a restart resets the sequence.
func (d departure) covers(e Entry) bool {
	if e.Incarnation == 0 {
		return false
	}
	return e.Incarnation < d.Incarnation || e.Incarnation == d.Incarnation && e.Sequence <= d.Sequence
}

func (f *Fleet) remove(now time.Time, s *Server) {
	f.rememberStatements(now, s)
	delete(f.servers, s.ID)
	f.invalidateDigest(true)
	f.departed[s.ID] = departure{Departed{s.ID, s.Incarnation, s.Sequence}, now}
}

// Departed returns the servers that were removed less than departedTTL ago.
func (f *Fleet) Departed() []Departed {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Departed, 0, len(f.departed))
	for _, d := range f.departed {
		list = append(list, d.Departed)
	}
	return list
}

// AddDeparted records servers that a peer has removed. It does not affect servers that
// are in the fleet.
func (f *Fleet) AddDeparted(now time.Time, list []Departed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range list {
		if _, known := f.departed[d.ID]; !known && f.servers[d.ID] == nil {
			f.departed[d.ID] = departure{d, now}
		}
	}
}
