package catalogue

import "errors"

// Errors of Apply for a revision that cannot follow the last one of the catalogue.
var (
	// ErrStale is returned for a revision whose number is not higher than that of the last one.
	ErrStale = errors.New("its number is not above the last one's")

	// ErrEarlierStart is returned for a revision with a start that is before the start of the last one. A revision
	// without a start takes effect at once, and is accepted.
	ErrEarlierStart = errors.New("it would take effect before the last revision does")
)
