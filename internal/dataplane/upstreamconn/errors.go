package upstreamconn

import "errors"

// ErrState means that the connection's state does not allow the event. This is a bug of the host.
var ErrState = errors.New("not in this state")
