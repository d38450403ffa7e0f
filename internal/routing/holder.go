package routing

import "sync/atomic"

// Holder holds the newest Table of a process. It accepts only tables of a higher
// version, or of the same version from a later era, whichever source delivers them, so
// that a process never returns to an older configuration. It is safe for concurrent use.
type Holder struct{ table atomic.Pointer[Table] }

// Current returns the newest table, or nil if none has been installed yet.
func (h *Holder) Current() *Table { return h.table.Load() }

// Version returns the version of the newest table, or 0 if none has been
// installed yet.
func (h *Holder) Version() int64 {
	if t := h.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Era returns the era in which the newest table was read, or 0 if none has been
// installed yet.
func (h *Holder) Era() int64 {
	if t := h.Current(); t != nil {
		return t.Era
	}
	return 0
}

// InstallIfNewer installs a table if its version is higher than that of the current
// one, or the same and read in a later era, and reports whether it did.
func (h *Holder) InstallIfNewer(t *Table) bool {
	for {
		old := h.table.Load()
		if old != nil && (old.Version > t.Version || old.Version == t.Version && old.Era >= t.Era) {
			return false
		}
		if h.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
