package contractlog

import (
	"errors"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/errcode"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// Code classifies an error by whether the change took effect and why it failed.
type Code string

// Codes of change log errors.
const (
	// CodeRefused means that the document is not a valid contract. The error
	// wraps a *contract.DocumentError.
	CodeRefused Code = "contract_refused"
	// CodeBadChangeID means that the change id cannot be used in a table key.
	CodeBadChangeID Code = "contract_bad_change_id"
	// CodeChangeIDReused means that the change id belongs to another change.
	CodeChangeIDReused Code = "contract_change_id_reused"
	// CodeConflict means that the change is not based on the current version of
	// the contract. CurrentOf returns the current version.
	CodeConflict Code = "contract_conflict"
	// CodeStoreUnavailable means that the table is unavailable or rejected the
	// call. The change did not and will not take effect.
	CodeStoreUnavailable Code = "contract_store_unavailable"
	// CodeBusy means that concurrent changes took the next log position at every
	// attempt. The change did not and will not take effect.
	CodeBusy Code = "contract_log_busy"
	// CodeOutcomeUnknown means that the change may have taken effect. Repeating
	// it with the same change id is safe and reveals the outcome; ChangeIDOf
	// returns the id.
	CodeOutcomeUnknown Code = "contract_outcome_unknown"
	// CodeCorrupt means that a row of the table is missing or cannot be encoded
	// or decoded.
	CodeCorrupt Code = "contract_log_corrupt"
)

// Keys of the attributes that errors carry.
const (
	attrCurrent  = "current"
	attrChangeID = "change_id"
)

// CodeOf returns the code of an error that this package returned, and the empty
// code for any other error.
func CodeOf(err error) Code { return errcode.Of[Code](err) }

// CurrentOf returns the current version of the contract from a CodeConflict
// error. It returns false if the contract does not exist.
func CurrentOf(err error) (contractset.Entry, bool) {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return contractset.Entry{}, false
	}
	current, ok := e.Context()[attrCurrent].(contractset.Entry)
	return current, ok
}

// ChangeIDOf returns the change id of a CodeOutcomeUnknown error, and the empty
// string for an error without one.
func ChangeIDOf(err error) string {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return ""
	}
	id, _ := e.Context()[attrChangeID].(string)
	return id
}

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("contractlog")
}

// unavailableError converts an error of a table call that had no effect to
// CodeStoreUnavailable. It includes the cause only as text, because oops reports the
// code of the innermost wrapped error.
func unavailableError(err error, action string) error {
	return newError(CodeStoreUnavailable).With("table_code", string(table.CodeOf(err))).Errorf("%s: %v", action, err)
}
