package mgmt

import (
	"errors"
	"fmt"
)

// ErrRejected is returned by Call if the call was answered with NAK, or not at all.
var ErrRejected = errors.New("refused")

// Errors about a line that is no call. Each is answered with NAK.
var (
	errTooLong = fmt.Errorf("a call of more than %d bytes", MaxCallBytes)
	errEmpty   = errors.New("an empty call")
)
