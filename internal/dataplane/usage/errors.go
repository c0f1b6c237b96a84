package usage

import "errors"

// Errors of reading segments.
var (
	// ErrHeader means that the data does not begin with the header of a segment.
	ErrHeader = errors.New("not a usage segment")
	// ErrVersion means that this program does not read segments of this version.
	ErrVersion = errors.New("unknown version of a usage segment")
	// ErrPayload means that a payload is not that of a record.
	ErrPayload = errors.New("malformed usage record")
)
