package agent

import "errors"

// ErrNoAgent is wrapped in the error of Ask where no agent answers at the address.
var ErrNoAgent = errors.New("no agent answers")
