package routing

import "sync/atomic"

// Holder keeps the newest Table of a process. Versions only rise, whichever
// source delivers them, so that a process never goes back to an older one.
type Holder struct{ table atomic.Pointer[Table] }

// Current returns the newest table, or nil before the first.
func (h *Holder) Current() *Table { return h.table.Load() }

// Version returns the version of the newest table, or 0 before the first.
func (h *Holder) Version() int64 {
	if t := h.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Offer installs a table if its version is newer, and reports whether it did.
func (h *Holder) Offer(t *Table) bool {
	for {
		old := h.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if h.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
