// Package proposals queues changes of the configuration at the control node that received them, and has them chosen by
// the voters. There is no leader: several nodes may do so at once, and the ballots of package consensus order them.
//
// Queue runs a consensus.Proposer, one run after the other, in one goroutine: it carries out the proposer's
// actions (queue.go has the queue, run.go a run, rounds.go the messages to voters, compose.go the choice of what
// to propose) and feeds it the answers. Changes that wait together are proposed together. The goroutine owns the
// proposer and the fields that are marked as its own.
//
// It imports package cluster's folders, control/replica and package mutants; peers, fetching and the majority
// lease are seen through interfaces. Most of its tests drive whole clusters in package control
// (operators_test.go); those that seed faults need the tag "mutants".
package proposals
