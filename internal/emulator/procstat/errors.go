package procstat

import "errors"

// ErrIncomplete is returned if the kernel's statistics of a process do not contain the requested value.
var ErrIncomplete = errors.New("the statistics of the process are incomplete")
