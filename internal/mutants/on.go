//go:build mutants

package mutants

// seeded is the name of the seeded fault, or empty if no fault is seeded.
var seeded string

// On reports whether the named fault is seeded.
func On(name string) bool { return seeded == name }

// Seed seeds the named fault until the test ends, and replaces the fault that was seeded before. An empty name seeds
// no fault. Seed must not run concurrently with code that calls On, so a test that calls it can't be parallel.
func Seed(t interface{ Cleanup(func()) }, name string) {
	t.Cleanup(func() { seeded = "" })
	seeded = name
}
