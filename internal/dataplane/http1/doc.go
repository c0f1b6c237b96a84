// Package http1 reads and writes HTTP/1.1 messages over plain connections, for clients, backends and the discovery
// service alike. It bounds what a peer can make it buffer, and rejects whatever two readers could take for two
// different messages.
//
// It imports nothing of this module. A Reader belongs to one connection and is not safe for concurrent use. Its tests
// are here: tables, and fuzz tests that compare it with net/http.
package http1
