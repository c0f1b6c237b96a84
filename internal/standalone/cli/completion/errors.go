package completion

import "errors"

// ErrUnknownShell is returned for a shell that no script is written for.
var ErrUnknownShell = errors.New("no completion for this shell")
