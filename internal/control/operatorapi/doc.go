// Package operatorapi is what a control node and its callers share of the operators' calls on voters: the bodies of
// GET /members and POST /members/replace, and a client of both.
//
// bodies.go has the bodies, client.go the client, errors.go what a node rejects a call with. The package has no state
// and imports nothing of the project, so that a caller does not link a control node: httpapi serves the calls,
// operatorcommand makes them. The tests of both cover it.
package operatorapi
