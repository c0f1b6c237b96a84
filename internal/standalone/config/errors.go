package config

import "errors"

// Errors of a configuration in the platform's format.
var (
	// ErrNoVariable is returned if the environment does not name a configuration file.
	ErrNoVariable = errors.New("NODE_CONFIG is not set")

	// ErrNegativeLimits is returned for a machine limit below zero.
	ErrNegativeLimits = errors.New("limits: below zero")

	// ErrNoClassesOrPlans is returned for settings without classes or plans, under which no request could be decided.
	ErrNoClassesOrPlans = errors.New("settings: no classes or no plans")

	// ErrNoCounterAddress is returned if the settings require a counter and the file has no address for it.
	ErrNoCounterAddress = errors.New("counter: the settings require one, but no address is configured")
)
