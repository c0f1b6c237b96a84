package catalogue

import "errors"

// Errors of Apply for a revision that cannot follow the last one of the catalogue.
var (
	// ErrStale is returned for a revision whose number is not higher than that of the last one.
	ErrStale = errors.New("its number is not above the last one's")

	// ErrEarlierStart is returned for a revision that would take effect before the last one does.
	ErrEarlierStart = errors.New("it holds before the last one does")
)
