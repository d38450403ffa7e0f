package ident

import "cmp"

// StorePosition is a point in the history of the platform's store. Revisions rise
// within an era. When the store comes back from an older copy of its data a new era
// begins: the revisions after that copy are given out again, for other changes.
// Positions are therefore ordered by era first. The zero value is before all others.
type StorePosition struct {
	Era      int64 `json:"e,omitempty"` // 0 if the store does not state it
	Revision int64 `json:"v,omitempty"`
}

// Compare returns a negative number if p is before q, 0 if they are equal, and a
// positive number if p is after q.
func (p StorePosition) Compare(q StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p StorePosition) Before(q StorePosition) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the zero value, that is, nothing has been read.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }

// LaterOf returns the later of two positions.
func LaterOf(p, q StorePosition) StorePosition {
	if p.Before(q) {
		return q
	}
	return p
}
