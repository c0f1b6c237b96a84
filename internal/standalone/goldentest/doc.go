// Package goldentest has helpers for tests that read files and messages written by an earlier version
// (testdata folders of the packages below internal/standalone, written by revision 76a3bb5). Only tests
// import it. It holds no state.
package goldentest
