// Package counterserver is a quota counter of our own: totals by name that ingresses add to, over RESP2 as PROTOCOL
// words it. An ingress can embed one for all those on its machine; the fakes of the emulator use it, too.
//
// It imports nothing of this repository. A Server owns its connections and goroutines, which end when the listener
// closes and Close is called; each shard of the names is guarded by a mutex of its own. Store is a pure data
// structure without I/O, clock or goroutines.
//
// The files: server.go (connections), commands.go (calls and their replies), resp.go (the protocol), store.go,
// errors.go. Tests are beside it.
package counterserver
