package contractlog

import (
	"errors"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/errcode"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
)

// Code classifies a failure by what it says about the change.
type Code string

// Codes of change log errors.
const (
	// CodeRefused: the document is not a valid contract. The error wraps a
	// *contract.DocumentError.
	CodeRefused Code = "contract_refused"
	// CodeBadChangeID: the change id cannot be used in a key of the table.
	CodeBadChangeID Code = "contract_bad_change_id"
	// CodeChangeIDReused: the change id belongs to another change.
	CodeChangeIDReused Code = "contract_change_id_reused"
	// CodeConflict: the contract has another version than the change is based
	// on. CurrentOf returns it.
	CodeConflict Code = "contract_conflict"
	// CodeStoreUnavailable: the change did not and will not take effect, because
	// the table cannot be used.
	CodeStoreUnavailable Code = "contract_store_unavailable"
	// CodeBusy: the change did not and will not take effect, because other
	// changes took its place in the log too often.
	CodeBusy Code = "contract_log_busy"
	// CodeOutcomeUnknown: the change may have taken effect. A repetition with
	// the same change id is safe and tells; ChangeIDOf returns the id.
	CodeOutcomeUnknown Code = "contract_outcome_unknown"
	// CodeCorrupt: a row of the table cannot be read or is missing.
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

// CurrentOf returns the newest version that a conflict carries. There is none
// if the contract does not exist.
func CurrentOf(err error) (contractset.Entry, bool) {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return contractset.Entry{}, false
	}
	current, ok := e.Context()[attrCurrent].(contractset.Entry)
	return current, ok
}

// ChangeIDOf returns the change id that an error carries.
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

// unavailable translates an error of the table for a call that had no effect.
// The cause is kept as text: oops reports the code of the innermost error.
func unavailable(err error, action string) error {
	return newError(CodeStoreUnavailable).With("table_code", string(table.CodeOf(err))).Errorf("%s: %v", action, err)
}
