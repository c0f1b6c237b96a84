// Package mutants seeds faults into the code under test, so that the tests themselves can be tested: a model test, a
// random walk or a scenario is of use only if it fails once the code is wrong.
//
// Code marks the place of a fault with On("package/fault"), where the name begins with that of the package that holds
// the place. On is constantly false, and costs nothing, except in builds with the tag mutants; there a test file with
// the same tag seeds one fault at a time with Seed. The package imports nothing and has no state in ordinary builds.
// Its tests are the tests that seed faults: `go test -tags mutants`.
package mutants
