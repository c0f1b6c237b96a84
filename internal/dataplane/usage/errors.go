package usage

import "errors"

// Errors of reading segments.
var (
	// ErrHeader is data that does not begin with the header of a segment.
	ErrHeader = errors.New("not a usage segment")
	// ErrVersion is a segment of a version that this program does not read.
	ErrVersion = errors.New("unknown version of a usage segment")
	// ErrPayload is a payload that is none of a record.
	ErrPayload = errors.New("malformed usage record")
)
