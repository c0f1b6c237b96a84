// Package hotrestart opens the address of an ingress's clients so that a newer process can listen beside the
// running one (SO_REUSEPORT), and hands the address over without resetting a connection. Closing a
// SO_REUSEPORT listener resets what waits in its accept queue, so the old process first redirects new
// connections to the newer one, and closes once its queue is empty.
//
// It imports golang.org/x/sys/unix alone and holds no state: the listener belongs to the caller. Tests:
// hotrestart_test.go, on loopback; whole processes in package node and emulator/faulttest.
package hotrestart
