// Package electorate decides which control nodes are voters, and proposes changes of the electorate.
//
// A Manager learns the electorate at start, enrolls this node again after it has lost its disk, replaces a voter
// that has not answered for a long time, enlarges an electorate that tolerates fewer losses than configured, replaces a
// voter at an operator's request, and transfers this node's vote when the node shuts down. Each change of the
// electorate is a change of the configuration, which proposals.Queue submits to the voters.
//
// It imports packages of cluster and control's packages replica, peers, proposals and majority. Its tests drive whole
// clusters in package control (electorate_test.go).
package electorate
