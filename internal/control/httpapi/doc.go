// Package httpapi serves the HTTP calls of a control node: those of servers (PUT and DELETE /instances/{id}), of
// operators (/config, /view, /members, /shards) and of applications (/locks, /numbers, /cells, /watch).
//
// server.go has the table of endpoints. call.go applies what is common to all calls before and after the handler
// (limits on connections and bodies, contact with a majority). errors.go maps an error to the status of its answer. A
// handler parses its body and passes typed values to the package that does the work: config.go to proposals,
// instances.go to instances, members.go to electorate, shards.go and applications.go to shards. view.go has the body of
// GET /view; the bodies that the project's own client reads too are in operatorapi. The package keeps no state except
// the counts of answers and the limit on large bodies.
//
// It imports packages of cluster and control, and package mutants. The tests here check bodies, errors and the table of
// endpoints; package control tests whole nodes.
package httpapi
