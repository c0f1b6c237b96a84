package gossip

import "errors"

// Errors of the transport and of decoding. None of them leaves the package except through logs: what can't be used is
// counted as rejected.
var (
	errTooLong         = errors.New("too long")
	errPort            = errors.New("not a port")
	errTransportClosed = errors.New("the process was suspended: what it would send is out of date")
)
