package contractset

import "github.com/samber/oops"

// Code classifies a failure of this package.
type Code string

// CodeWrongTeam means that a log entry holds a document of another team.
const CodeWrongTeam Code = "contractset_wrong_customer"

func newError(code Code) oops.OopsErrorBuilder {
	return oops.Code(code).In("contractset")
}
