//go:build mutants

package handover

// Mutant names the fault that is seeded; empty: none. Tests set it before anything runs.
var Mutant string

// mutated tells whether a fault is seeded at a place.
func mutated(name string) bool { return Mutant == name }
