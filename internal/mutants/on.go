//go:build mutants

package mutants

// seeded names the fault that is seeded; empty for none.
var seeded string

// On reports whether the named fault is seeded.
func On(name string) bool { return seeded == name }

// Seed seeds the named fault in place of the one before it, until the test ends; an empty name seeds none. It must
// not run beside code that asks for faults, so a test that calls it can't be parallel.
func Seed(t interface{ Cleanup(func()) }, name string) {
	t.Cleanup(func() { seeded = "" })
	seeded = name
}
