// Package counterclient calls the quota counter that all ingresses share: RESP2, pipelined over a few connections.
//
// Calls for one name use one pipeline, so that their replies arrive in the order of the calls. Each call is reported
// exactly once. The outcome ConnectionReset means that the counter may or may not have added the call.
//
// The package may import the decision module, for outcomes. A Client owns its connections and goroutines; each
// pipeline guards its state by its own mutex, which is never held while the caller is notified.
//
// The files: client.go, pipeline.go (a connection that is reopened when it ends), connection.go (the calls on it),
// resp.go (the protocol), errors.go. The tests are in this folder; testdata holds scripted dialogues with the counter,
// which emulator/exchange plays.
package counterclient
