package orders

import "github.com/samber/oops"

// Code classifies an error of this package.
type Code string

// Codes of errors.
const (
	// CodeLease: the lease row cannot be read, decoded or written.
	CodeLease Code = "orders_lease"
	// CodeEngine: an engine refused an order or did not answer.
	CodeEngine Code = "orders_engine"
	// CodeNotApplied: an engine accepted an order but does not show it.
	CodeNotApplied Code = "orders_not_applied"
)

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("orders")
}
