//go:build mutants

package clientconn

// Mutant names the seeded fault; empty: none. Tests set it before anything runs.
var Mutant string

// mutated reports whether the fault of this name is seeded.
func mutated(name string) bool { return Mutant == name }
