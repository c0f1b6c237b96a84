package clientconn

import "errors"

// ErrStep is a transition that a connection's state does not have: a mistake of the host.
var ErrStep = errors.New("illegal transition")
