//go:build mutants

package tandem

import "sync/atomic"

// mutant names the fault that is seeded; empty: none.
var mutant atomic.Value

// mutated tells whether a fault is seeded at a place.
func mutated(name string) bool { return mutant.Load() == name }
