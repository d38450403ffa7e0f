// Package replica copies the journals of generations to other nodes. The
// Replicator sends this node's journals, the Store holds copies for other nodes,
// and Choose selects the node that holds a copy. Replicator and Store may be
// used by any number of goroutines; Choose and Preselect hold no state.
package replica

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Site is the location of a node.
type Site struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     string
}

// Candidate is a node that may hold a copy.
type Candidate struct {
	Site
	// Eligible is false if the node is leaving, suspected or dead.
	Eligible bool
}

// Choose returns the replica node for a generation owned by the node at self,
// and false if no candidate qualifies. It prefers nodes in other data centres of
// the same region, then nodes in other regions in the order of nearRegions
// (regions not listed there come last, by name), then nodes in the same data
// centre. Within the first of these groups that has an eligible node, it uses
// rendezvous hashing of generation and host, so the loss of one node moves only the
// copies on that node. Nodes in except, usually those that did not answer, are
// skipped.
func Choose(generation ident.GenerationID, self Site, nearRegions []string, candidates []Candidate, except ...ident.HostID) (ident.HostID, bool) {
	var best Candidate
	var bestScore uint64
	found := false
	for _, c := range candidates {
		if !c.Eligible || c.Host == self.Host || slices.Contains(except, c.Host) {
			continue
		}
		nearer := -1
		if found {
			nearer = compareDistance(self, nearRegions, c.Site, best.Site)
		}
		if nearer > 0 {
			continue
		}
		s := score(string(generation), c.Host)
		if nearer < 0 || s > bestScore || s == bestScore && c.Host < best.Host {
			best, bestScore, found = c, s, true
		}
	}
	return best.Host, found
}

// Preselect returns the candidates among which a node distributes its copies:
// the fanout eligible ones that are nearest to self. Candidates at equal distance
// are ordered by the hash of both hosts. The cost of a copy is mostly the cost of its
// message, so fewer replica nodes mean more tokens per message: for one pair of
// nodes, a token cost 175 µs of CPU at 1,000 tokens/s and 21 µs at 10,000
// tokens/s. Preselect is called when the list of nodes changes; Choose then selects
// from its result, or from all candidates if none of the result is eligible.
func Preselect(self Site, nearRegions []string, candidates []Candidate, fanout int) []Candidate {
	var eligible []Candidate
	for _, c := range candidates {
		if c.Eligible && c.Host != self.Host {
			eligible = append(eligible, c)
		}
	}
	slices.SortFunc(eligible, func(a, b Candidate) int {
		return cmp.Or(
			compareDistance(self, nearRegions, a.Site, b.Site),
			cmp.Compare(score(string(self.Host), b.Host), score(string(self.Host), a.Host)),
			strings.Compare(string(a.Host), string(b.Host)))
	})
	return eligible[:min(fanout, len(eligible))]
}

// compareDistance compares a and b as locations for a copy; the result is
// negative if a is preferred.
func compareDistance(self Site, nearRegions []string, a, b Site) int {
	if d := distance(self, nearRegions, a) - distance(self, nearRegions, b); d != 0 {
		return d
	}
	if a.Region == b.Region {
		return 0
	}
	return strings.Compare(a.Region, b.Region)
}

// distance returns the rank of s as a location for a copy: 0 for another data
// centre of the same region, then the index in nearRegions plus 1, then one rank
// for all regions that are not listed, and last the data centre of self.
func distance(self Site, nearRegions []string, s Site) int {
	switch {
	case s.DataCentre == self.DataCentre:
		return len(nearRegions) + 2
	case s.Region == self.Region:
		return 0
	}
	if i := slices.Index(nearRegions, s.Region); i >= 0 {
		return i + 1
	}
	return len(nearRegions) + 1
}

// score returns the rendezvous hash of a host and a key, which is a generation or
// the host of an owner.
func score(key string, host ident.HostID) uint64 {
	return xxh3.HashStringSeed(string(host), xxh3.HashString(key))
}
