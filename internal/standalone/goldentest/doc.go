// Package goldentest has helpers for tests that read files and messages written by an earlier version. They are
// in the testdata folders of the packages below internal/standalone, and revision 76a3bb5 wrote them. Only tests
// import it. It holds no state.
package goldentest
