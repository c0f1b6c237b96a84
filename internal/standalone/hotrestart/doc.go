// Package hotrestart opens the client address of an ingress so that a newer process can listen on it at the same
// time as the running one (SO_REUSEPORT), and hands the address over without resetting a connection. Closing a
// SO_REUSEPORT listener resets the connections in its accept queue, so the old process first redirects new
// connections to the newer one, and closes its listener once the queue is empty.
//
// It imports only golang.org/x/sys/unix and holds no state, because the listener belongs to the caller. The tests in
// hotrestart_test.go use loopback; those of cmd/mulleinrouter upgrade whole processes.
package hotrestart
