// Package operatorapi has what control nodes and their callers share of the operators' calls on voters and shards: the
// bodies of /members, /members/replace, /shards and /shards/transfer, and a client for these calls.
//
// bodies.go has the bodies, client.go the client, errors.go the error of a call that a node rejects. The package has no
// state. It imports nothing else of the project, so that its callers do not link a control node. httpapi serves the
// calls and operatorcommand makes them; the tests of both cover this package.
package operatorapi
