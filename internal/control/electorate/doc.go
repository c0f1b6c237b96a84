// Package electorate decides which control nodes are voters, and has the electorate changed.
//
// A Manager learns the electorate at start, enrolls this node again after it lost its disk, replaces a voter
// that has been silent for long, enlarges an electorate that tolerates fewer losses than configured, replaces a
// voter when an operator asks for it, and hands this node's vote over when it shuts down. Each change is a
// change of the configuration, which proposals.Queue has chosen by the voters.
//
// It imports package cluster's folders and control's packages for replica, peers, proposals and majority. Its
// tests drive whole clusters in package control (electorate_test.go).
package electorate
