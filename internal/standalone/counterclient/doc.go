// Package counterclient calls the quota counter that all ingresses share: RESP2, pipelined over a few connections.
//
// Calls for one name travel over one pipeline, so that their replies arrive in the order of the calls. Each call is
// reported exactly once, with the outcome as far as it is known: a call whose connection broke may have been added.
//
// The package may import the decision module, for outcomes. A Client owns its connections and goroutines; each
// pipeline guards its state by its own mutex, which is never held while the caller is notified.
//
// The files: client.go, pipeline.go (a connection that is kept up), connection.go (the calls on it), resp.go (the
// protocol), errors.go. Tests are beside it; testdata holds dialogues with the counter, played by
// emulator/exchange.
package counterclient
