// Package mgmt serves and calls the management address, which only operators use. Each connection carries one call, a
// line, and gets one answer that begins with ACK or NAK. The server then ends the connection.
//
// The server answers however busy the ingress is with requests. It takes no lock that serving requests holds for long,
// and a caller that does not finish its line is disconnected and does not keep others from being served. Server.Serve
// owns the goroutines of its connections and returns once they have ended. Reading a call and writing its answer have
// time limits, but the Handler, which executes the calls, has none. When the listener closes, incomplete calls are cut
// off and the others are answered. The package imports nothing of this repository.
//
// The files: server.go, client.go, statsd.go (the line format of statistics), errors.go. The tests are in this folder.
package mgmt
