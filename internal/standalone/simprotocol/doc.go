// Package simprotocol implements the simulator's protocol. Each line of input is a batch of events in JSON, and each is
// answered by one line of output with a batch of actions. The package only translates; gateways of package decision
// handle the events.
//
// It may import decision, and standalone's settings and jsontext. A Host owns the gateways of one process and is used
// by one goroutine (cmd/adapter). Input that is not a valid batch ends Serve with an error of one line. Messages with
// unknown names are skipped. The tests are in this folder.
package simprotocol
