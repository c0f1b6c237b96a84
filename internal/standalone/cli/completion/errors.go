package completion

import "errors"

// ErrUnknownShell is returned for a shell that is not in Shells.
var ErrUnknownShell = errors.New("no completion for this shell")
