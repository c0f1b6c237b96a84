// Package mutant seeds faults in the packages of a control node, so that their tests can be tested by whether
// they find them.
//
// Only builds with the tag "mutants" have any. It imports nothing and is used by internal/control and the
// packages below it; the tests that seed faults are named ..._mutants_test.go beside the code that they seed.
package mutant
