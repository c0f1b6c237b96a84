package node

import "errors"

// Errors of Node.Reload. A reload that returns one of them changes nothing.
var (
	// ErrNoCounterAddress is returned for a configuration without a counter while the node uses one.
	ErrNoCounterAddress = errors.New("counter: no address")

	// ErrServerSourceChanged is returned for a configuration that replaces a static list of servers by discovery, or
	// discovery by a static list.
	ErrServerSourceChanged = errors.New(
		"a static list of servers and discovery cannot replace each other without a restart")
)
