// Package mgmt serves and calls the management address, which operators alone use: each connection carries one
// line, a call, and gets one answer that begins with ACK or NAK, whereupon the connection ends.
//
// The server answers however busy serving is: it takes no lock that serving holds for long, and a caller that
// finishes no line is cut off without taking the capacity of others. Server.Serve owns the goroutines of its
// connections and returns once they have ended: each has a time limit, and when the listener closes, calls that are
// incomplete are cut off and the others answered. What a call does is its Handler's. The package imports nothing of
// this repository.
//
// The files: server.go, client.go, statsd.go (the line format of statistics), errors.go. Tests are beside them.
package mgmt
