// Package histories runs simulated applications that coordinate through control nodes, and checks the answers that
// they receive: a lock has at most one holder at a time, fencing tokens and numbers increase, cells are linearizable,
// and watches skip no event.
//
// A Workload makes calls through a SendFunc that the caller provides, in real or simulated time, and records each call
// with its answer. Check evaluates the recorded calls with models that are independent of the code under test. The
// library porcupine searches for an order of the calls that a model allows. This package imports no other package of
// this project.
//
// The tests of internal/control use it on simulated nodes, and emulator/coordinationsoak uses it on processes. The
// tests of this package (check_test.go) show that each check detects the violation that it is meant to detect.
package histories
