// Package proposals queues changes of the configuration at the control node that received them, and proposes them to
// the voters. There is no leader. Nodes may propose at the same time, and the ballots of package consensus order their
// proposals.
//
// Queue runs a consensus.Proposer in one goroutine, one run at a time. It performs the proposer's actions and
// passes the answers to it. queue.go has the queue, run.go one run, rounds.go the messages to voters, and compose.go
// chooses what to propose. Changes that wait at the same time are proposed together. The goroutine owns the proposer
// and the fields that are marked so.
//
// The package imports packages of cluster, control/replica and package mutants. Interfaces stand for the peers, the
// fetcher and the majority lease. Most of its tests drive whole clusters in package control (operators_test.go). Tests
// that seed faults need the build tag "mutants".
package proposals
