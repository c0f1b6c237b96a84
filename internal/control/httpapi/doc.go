// Package httpapi serves a control node's HTTP calls: those of servers (PUT and DELETE /instances/{id}) and of
// operators (/config, /view, /members).
//
// server.go has the table of the endpoints, call.go what happens to a call before and after its handler (limits
// on connections and bodies, contact with a majority), errors.go the status that an error is answered with. A
// handler parses its body and hands typed values to the packages that do the work: config.go to proposals,
// instances.go to instances, members.go to electorate. view.go has a body that operators get; those that they call with
// a client of ours are in operatorapi. The package keeps no state but the counts of answers.
//
// It imports package cluster's folders and control's packages. Its tests here are of bodies and errors; whole
// nodes are tested in package control.
package httpapi
