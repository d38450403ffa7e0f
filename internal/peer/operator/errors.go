package operator

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/samber/oops"

	"github.com/yuccahatch/yuccahatch/api/operatorapi"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/contract"
	"github.com/yuccahatch/yuccahatch/internal/contractlog"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
)

// Code classifies a failed operator request. It is the code in the body of the
// error response.
type Code string

// Codes of error responses to operators.
const (
	CodeUnauthorized     Code = "unauthorized"
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeRefused          Code = "contract_refused"
	CodeConflict         Code = "version_conflict"
	CodeChangeIDReused   Code = "change_id_reused"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeInternal         Code = "internal"
)

// httpStatuses maps codes to HTTP status codes.
var httpStatuses = map[Code]int{
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeBadRequest:       http.StatusBadRequest,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeNotFound:         http.StatusNotFound,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeRefused:          http.StatusUnprocessableEntity,
	CodeConflict:         http.StatusConflict,
	CodeChangeIDReused:   http.StatusConflict,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown:   http.StatusGatewayTimeout,
	CodeInternal:         http.StatusInternalServerError,
}

// contractLogCodes maps error codes of package contractlog to codes of this
// package.
var contractLogCodes = map[contractlog.Code]Code{
	contractlog.CodeRefused:          CodeRefused,
	contractlog.CodeBadChangeID:      CodeBadRequest,
	contractlog.CodeChangeIDReused:   CodeChangeIDReused,
	contractlog.CodeConflict:         CodeConflict,
	contractlog.CodeStoreUnavailable: CodeStoreUnavailable,
	contractlog.CodeBusy:             CodeStoreUnavailable,
	contractlog.CodeOutcomeUnknown:   CodeOutcomeUnknown,
	contractlog.CodeCorrupt:          CodeInternal,
}

// NewError returns an error with a code of this package, for example
// CodeNotFound. A Backend returns it to choose the code of the response.
func NewError(code Code, format string, args ...any) error {
	return oops.Code(code).In("operator").Errorf(format, args...)
}

// codeOf returns the code of the response for an error of a Backend or of reading
// the request body.
func codeOf(err error) Code {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return CodeTooLarge
	}
	var e oops.OopsError
	if !errors.As(err, &e) {
		return CodeInternal
	}
	switch code := e.Code().(type) {
	case Code:
		if _, known := httpStatuses[code]; known {
			return code
		}
	case contractlog.Code:
		if translated, known := contractLogCodes[code]; known {
			return translated
		}
	case audit.Code:
		if code == audit.CodeUnavailable {
			return CodeStoreUnavailable
		}
	}
	return CodeInternal
}

// errorResponse returns the HTTP status and the body for an error. The message of
// an internal error is only logged, not sent.
func errorResponse(err error) (int, operatorapi.Error) {
	code := codeOf(err)
	body := operatorapi.Error{Code: string(code), Message: err.Error()}
	if code == CodeInternal {
		body.Message = "internal error; see the log of the node"
	}
	var de *contract.DocumentError
	if errors.As(err, &de) {
		body.Line, body.Key, body.Message = de.Line, de.Key, de.Error()
	}
	if current, ok := contractlog.CurrentOf(err); ok {
		c := ContractOf(current)
		body.Current = &c
	}
	if id := contractlog.ChangeIDOf(err); id != "" && code == CodeOutcomeUnknown {
		body.Message = fmt.Sprintf("the change may have taken effect; repeat it with %s: %s to find out", operatorapi.HeaderChangeID, id)
	}
	return httpStatuses[code], body
}

// ContractOf converts an entry of the change log to its API form.
func ContractOf(e contractset.Entry) operatorapi.Contract {
	return operatorapi.Contract{
		Customer: string(e.Team), Version: int64(e.Version), Sequence: int64(e.Sequence), Document: e.Document,
		ChangedBy: e.ChangedBy, ChangedAt: e.ChangedAt, ChangeID: e.ChangeID,
	}
}
