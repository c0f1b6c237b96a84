// Package counterserver is a quota counter: it keeps totals by name, to which ingresses add over RESP2 as the
// operators' PROTOCOL specifies. An ingress can embed one for all ingresses on its machine. The fakes of the emulator
// use it, too.
//
// It imports nothing of this repository. A Server owns its connections and goroutines, which end when the listener
// closes and Close is called. The names are divided into shards, each with its own mutex. Store is a pure data
// structure without I/O, clock or goroutines.
//
// The files: server.go (connections), commands.go (calls and their replies), resp.go (the protocol), store.go,
// errors.go. The tests are in this folder.
package counterserver
