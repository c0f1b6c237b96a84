// Package mutants seeds faults into the code under test, to check that the tests find them. A model test, a random walk
// or a scenario is useful only if it fails when the code is wrong.
//
// Code marks the place of a fault with On("package/fault"), where package is the name of the package with that place.
// In builds without the tag mutants, On always returns false and costs nothing. In builds with the tag, a test file
// with the same tag seeds one fault at a time with Seed. The package imports nothing and has no state in ordinary
// builds. It is tested by the tests that seed faults, with `go test -tags mutants`.
package mutants
