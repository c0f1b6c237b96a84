// Package discovery follows the endpoint list of quote servers: the complete list once, then a watch for its
// changes.
//
// A Watcher asks one address at a time, in the goroutine of Run, and keeps a Directory up to date, which any
// goroutine may read. When and how often it asks again is decided by dataplane/backoff; what an update means, by
// the decision module. It may import both, and dataplane/http1 for the protocol.
//
// The files: list.go (the form of lists), directory.go (addresses by server), watcher.go (when it asks),
// connection.go (one connection), errors.go. Tests are beside it; testdata holds dialogues with discovery, played
// by emulator/exchange.
package discovery
