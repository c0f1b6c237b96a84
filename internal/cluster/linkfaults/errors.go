package linkfaults

import "errors"

// ErrBadLine is wrapped in the error of a line that Parse does not accept.
var ErrBadLine = errors.New(`not "to HOST", "from HOST" or "both HOST"`)
