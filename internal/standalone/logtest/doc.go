// Package logtest has a logger for tests. Only tests of the packages below internal/standalone import it. It holds no
// state, and it is tested by its use.
package logtest
