// Package ingress serves clients. It reads their requests, submits each one to the engine, makes the attempts that the
// engine decides on, and writes the answers.
//
// Server owns the connections of clients. Its mutex guards the set of connections, their state machines (package
// clientconn) and the life cycle of the process. Each connection has a goroutine that reads and answers one request
// after another (conn.run). From its first request on, a second goroutine watches for the client's disconnection while
// a request is pending (conn.watchClient). A Dialect translates between the protocol of a deployment's clients and the
// decision module.
//
// It imports clientconn, engine, http1, traffic, upstream, usage and decision. The tests of the package play the
// scripted exchanges of clients and servers under testdata, and forward long answers. BenchmarkServe measures the path
// of a request.
package ingress
