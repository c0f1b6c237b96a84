// Package goldentest has helpers for tests that read files and messages written by an earlier version. These files are
// in the testdata folders of the packages below internal/standalone, and commit 76a3bb5 of this repository wrote them.
// Only tests import the package. It holds no state.
package goldentest
