//go:build mutants

package mutant

// Name is the fault that is seeded; empty: none. Tests set it before anything runs.
var Name string

// Active tells whether the named fault is seeded.
func Active(name string) bool { return Name == name }
