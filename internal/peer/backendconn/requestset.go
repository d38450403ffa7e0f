package backendconn

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// maxCarried is the maximum number of requests that a connection carries. It bounds the
// memory of a requestSet at 2 KiB; a new connection for each 256 requests costs little.
const maxCarried = 256

// requestSet is the set of the requests that a connection has carried, as the hashes of
// their ids. All requests without an id count as the same one. Two requests with the same
// hash only cost a connection.
type requestSet []uint64

func (s *requestSet) add(id ident.RequestID) { *s = append(*s, xxh3.HashString(string(id))) }

func (s requestSet) contains(id ident.RequestID) bool {
	return slices.Contains(s, xxh3.HashString(string(id)))
}

// full reports whether the connection must not carry another request.
func (s requestSet) full() bool { return len(s) >= maxCarried }
