// Package discovery follows the endpoint list of quote servers: the complete list once, then a watch for its
// changes.
//
// A Watcher connects to one address at a time, in the goroutine of Run, and keeps a Directory up to date, which any
// goroutine may read. Package dataplane/backoff determines the delays between its connections, and the decision module
// interprets the updates. The package may import both, dataplane/http1 for the protocol, and jsontext for the lists.
//
// The files: list.go (the format of lists), directory.go (addresses by server), watcher.go (when to connect),
// connection.go (one connection), errors.go. The tests are in this folder; testdata holds scripted dialogues with
// discovery, which emulator/exchange plays.
package discovery
