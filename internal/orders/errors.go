package orders

import "github.com/samber/oops"

// Code classifies an error of this package.
type Code string

// Codes of errors.
const (
	// CodeLease means that the lease row cannot be read, decoded, encoded or
	// written.
	CodeLease Code = "orders_lease"
	// CodeEngine means that an engine refused an order or did not answer.
	CodeEngine Code = "orders_engine"
	// CodeNotApplied means that an engine accepted an order but does not report
	// the ordered model as running or loading.
	CodeNotApplied Code = "orders_not_applied"
)

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("orders")
}
