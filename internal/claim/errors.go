package claim

import "github.com/samber/oops"

// Code classifies an error of this package.
type Code string

// CodeRowInvalid means that a claim row cannot be encoded or decoded.
const CodeRowInvalid Code = "claim_row_invalid"

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("claim")
}
