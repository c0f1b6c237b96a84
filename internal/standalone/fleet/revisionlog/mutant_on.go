//go:build mutants

package revisionlog

// Mutant names the fault that is seeded; empty: none. Tests set it before anything runs.
var Mutant string

// mutated reports whether the named fault is seeded.
func mutated(name string) bool { return Mutant == name }
