package clientconn

import "errors"

// ErrIllegalTransition means that the connection's state does not allow the transition. This is a bug of the host.
var ErrIllegalTransition = errors.New("illegal transition")
