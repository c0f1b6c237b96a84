package node

import "errors"

// Errors of Node.Reload. A reload that returns one of them has changed nothing.
var (
	// ErrNoCounterAddress is returned for a configuration without a counter while the node uses one.
	ErrNoCounterAddress = errors.New("counter: no address")

	// ErrServerSourceChanged is returned for a configuration that replaces a static list of servers by discovery, or
	// the other way round.
	ErrServerSourceChanged = errors.New(
		"servers written down and discovery cannot take each other's place while it serves")
)
