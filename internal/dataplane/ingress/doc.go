// Package ingress serves clients: it reads their requests, submits each to the engine, makes the attempts that the
// engine decides on, and answers.
//
// Server owns the connections of clients; its mutex guards them, with their state machines (package clientconn), and
// the life cycle of the process. Each connection has a goroutine that reads and answers one request after another
// (conn.run) and, once it has had a request, another that watches for the client's disconnection while one is pending
// (conn.watchClient). A Dialect translates between the protocol of a deployment's clients and the decision module.
//
// It imports clientconn, engine, http1, traffic, upstream, usage and decision. Its tests are here: exchanges of
// scripted clients and servers under testdata, and long answers; BenchmarkServe measures the path of a request.
package ingress
