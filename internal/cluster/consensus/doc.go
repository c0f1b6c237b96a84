// Package consensus decides changes of the configuration by majority, without a log and without a leader.
//
// The configuration is one register. Any node may propose its next value. A change is chosen once more than half of
// the voters have accepted it on their disks. A proposer first asks a majority what they have accepted, so its change
// builds on the newest chosen one. Each change has an epoch, one higher than that of the snapshot against which it
// was validated; two changes that are valid alone and invalid together are therefore never both chosen. The set of
// voters is part of the configuration, see Electorate.
//
// Acceptor is the state of a voter, Proposer the state machine that leads a change, ComposeProposal the choice of
// what goes into one. The package does no I/O, reads no clock and starts no goroutine. walk_test.go explores it by
// random walks with losses, restarts and changes of the electorate.
package consensus
