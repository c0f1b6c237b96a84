package proposals

import "github.com/cockroachdb/errors"

var (
	// ErrNoMajority means that not enough voters answered in time. The change may or may not be chosen later.
	ErrNoMajority = errors.New("not enough control nodes answer")

	// ErrElectorateChanged means that a change of the electorate was not made, for it is no longer the one that was
	// evaluated.
	ErrElectorateChanged = errors.New("the electorate has changed meanwhile")
)
