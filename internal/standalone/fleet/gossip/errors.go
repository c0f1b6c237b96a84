package gossip

import "errors"

// Errors of the transport and of decoding. They leave the package only in logs. Messages that can't be decoded are
// counted as rejected.
var (
	errTooLong     = errors.New("too long") // a message exceeds maxMessageBytes
	errInvalidPort = errors.New("the port is not a number")
	// errTransportClosed also means that the process was suspended, because its messages are then out of date.
	errTransportClosed = errors.New("the transport is closed, or the process was suspended")
)
