package mgmt

import (
	"errors"
	"fmt"
)

// ErrRejected is returned by Call if the answer does not begin with ACK, or the connection ends without an answer.
var ErrRejected = errors.New("the call was rejected or not answered")

// Errors about a line that is not a valid call. Each is answered with NAK.
var (
	errTooLong = fmt.Errorf("a call of more than %d bytes", MaxCallBytes)
	errEmpty   = errors.New("an empty call")
)
