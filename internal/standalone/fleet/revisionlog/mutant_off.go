//go:build !mutants

package revisionlog

// mutated reports whether the named fault is seeded. Only builds with the tag mutants seed any, to test that the
// tests find it.
func mutated(string) bool { return false }
