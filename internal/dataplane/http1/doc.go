// Package http1 reads and writes HTTP/1.1 messages over plain connections: those to clients, to backends and to the
// discovery service. It limits how much a peer can make it buffer. It rejects any message that two readers could
// interpret differently, because such messages allow request smuggling.
//
// It imports nothing of this module. A Reader belongs to one connection and is not safe for concurrent use. The tests
// of the package are table-driven tests, and fuzz tests that compare it with net/http.
package http1
