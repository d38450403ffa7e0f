// Package replica copies the journals of generations to other nodes: the
// Replicator sends them, the Store holds those of other nodes, and Choose picks
// the node that holds a copy.
package replica

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// Site is where a node is.
type Site struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     string
}

// Candidate is a node that may hold a copy.
type Candidate struct {
	Site
	// Eligible is false for nodes that are leaving, suspected or dead.
	Eligible bool
}

// Choose returns the replica node for a generation that the node at self owns,
// and false if no candidate qualifies. Nodes of other data centres of the same
// region come first, then those of other regions in the order of nearRegions
// (regions not listed there come last, by name), then those of the same data
// centre. Within the first group that has a node, the highest hash of
// generation and host wins, so the loss of one node moves only its own copies.
// Nodes in except, usually those that did not answer, are passed over.
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

// Preselect returns the candidates among which a node spreads its copies: the
// fanout eligible ones that are nearest to self, by hash of both hosts where
// equally near. The cost of a copy is mostly that of its message, so fewer
// replica nodes mean more tokens in a message: on one pair a token cost 175 µs
// of CPU at 1,000 tokens/s and 21 µs at 10,000. It is called when the list of
// nodes changes; Choose then picks from the result, or from all candidates if
// none of the result is left.
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

// compareDistance orders a and b as places for a copy; negative means that a is
// preferred.
func compareDistance(self Site, nearRegions []string, a, b Site) int {
	if d := distance(self, nearRegions, a) - distance(self, nearRegions, b); d != 0 {
		return d
	}
	if a.Region == b.Region {
		return 0
	}
	return strings.Compare(a.Region, b.Region)
}

// distance is 0 for another data centre of the region, then counts regions; the
// own data centre comes after all of them.
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

// score is the rendezvous hash of a key, a generation or an owner, and a host.
func score(key string, host ident.HostID) uint64 {
	return xxh3.HashStringSeed(string(host), xxh3.HashString(key))
}
