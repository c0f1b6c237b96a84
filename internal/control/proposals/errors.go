package proposals

import "github.com/cockroachdb/errors"

var (
	// ErrNoMajority means that too few voters answered in time. The change may or may not be chosen later.
	ErrNoMajority = errors.New("not enough control nodes answer")

	// ErrElectorateChanged means that a change of the electorate was not made, because the electorate is no longer the
	// one for which it was planned.
	ErrElectorateChanged = errors.New("the electorate has changed meanwhile")
)
