package agent

import "errors"

// ErrNoAgent is wrapped in the error of Ask if no agent is found at the address.
var ErrNoAgent = errors.New("no agent answers")
