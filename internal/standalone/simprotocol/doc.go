// Package simprotocol speaks the simulator's protocol: one line of JSON with a batch of events in, one line of JSON
// with a batch of actions out. It translates and decides nothing: the events go to gateways of package decision.
//
// It may import decision, and standalone's settings and jsontext. A Host owns the gateways of one process and is used
// by one goroutine (cmd/adapter). Input that is no batch ends Serve with an error of one line; message names that are
// not known are skipped. Its tests stand beside it.
package simprotocol
