package config

import "errors"

// Errors about the platform's form of a configuration.
var (
	// ErrNoVariable is returned where the environment does not name a file.
	ErrNoVariable = errors.New("NODE_CONFIG is not set")

	// ErrNegativeLimits is returned for limits of the machine below zero.
	ErrNegativeLimits = errors.New("limits: below zero")

	// ErrNoClassesOrPlans is returned for settings on which no request could be decided.
	ErrNoClassesOrPlans = errors.New("settings: no classes or no plans")

	// ErrNoCounterAddress is returned where the settings promise a counter that has no address.
	ErrNoCounterAddress = errors.New("counter: the settings promise one, but there is no address")
)
