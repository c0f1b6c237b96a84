// Package consensus decides changes of the configuration by majority, without a log and without a leader.
//
// The configuration is one register, decided by Paxos: an instance of single-decree Paxos for each epoch, whose value
// is the change from the snapshot of the epoch before. Any node may propose. A change is chosen once a majority of
// the voters have accepted it on their disks. A proposer first requests promises of its ballot. The promises of a
// majority also report what these voters have accepted, so the proposer's change builds on the newest chosen one. Two
// changes that are valid alone and invalid together are therefore never both chosen, because each is validated against
// the snapshot that it builds on. The set of voters is part of the configuration, see Electorate.
//
// Acceptor is the state of a voter (acceptor.go). Proposer is the state machine that gets a change chosen (proposer.go,
// round.go, with its requests to the caller in action.go). ComposeProposal selects the items of a change (compose.go).
// Messages between nodes are in messages.go, the set of voters in electorate.go.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are state owned by the caller and are
// not safe for concurrent use. It may import cluster/configuration and mutants.
//
// Tests: random_walk_test.go runs a simulation (simulation_test.go) with losses, restarts and changes of the
// electorate. mutants_test.go seeds faults into the package, which the random walks must find.
package consensus
