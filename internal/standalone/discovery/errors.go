package discovery

import (
	"errors"
	"io"
	"net"
)

// Errors of a connection to discovery. They determine its log code and the delay before the next connection.
var (
	// errStatus is wrapped by errors about a response with a status other than 200.
	errStatus = errors.New("unexpected status")

	// errMalformedList is wrapped by errors about bytes that are not a valid list.
	errMalformedList = errors.New("malformed endpoint list")

	// errWatchSilent is wrapped by all errors of reading the lines of a watch. Only if the error is also a timeout did
	// the watch receive no line in time.
	errWatchSilent = errors.New("cannot read the watch")
)

// codeSilent is the log code of a connect, a call or a watch that timed out.
const codeSilent = "discovery-silent"

// logCode returns the log code for the end of a connection.
func logCode(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return codeSilent
	case errors.Is(err, errStatus):
		return "discovery-status"
	case errors.Is(err, errMalformedList):
		return "discovery-bad-list"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "discovery-ended"
	}
	return "discovery-broken"
}
