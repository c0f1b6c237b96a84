package upstreamconn

import "errors"

// ErrState is an event that a connection's state does not have: a mistake of the host.
var ErrState = errors.New("not in this state")
