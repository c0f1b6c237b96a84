// Package control is a control node, the program that runs on each core machine.
//
// A control node accepts configuration changes from operators and has them chosen by a majority of the voters,
// accepts heartbeats from servers and detects which are silent, streams configuration and instances to the
// agents, and keeps the quota counters of the tenants that it owns. This package wires the parts and owns their
// life cycle: node.go makes, starts and stops them, wiring.go connects them to one another, watch.go has the
// periodic work, internal_server.go serves agents and other control nodes, counters.go the quota counters,
// view.go and metrics.go what operators see. The parts, each with its own documentation, in the order in which a
// change of the configuration meets them:
//
//	httpapi       HTTP calls of servers and operators
//	connlimit     limits on connections
//	majority      the lease on contact with a majority
//	proposals     the queue that has changes chosen by the voters
//	peers         connections to the other control nodes
//	replica       this node's replica of the configuration, and its vote
//	storage       its disk
//	catchup       fetching of changes that the replica lacks
//	electorate    who votes, and the replacement of voters
//	instances     server instances, and the copies of their departures
//	ingresslease  the leases of ingresses
//
// It may import package cluster's folders and the packages below it, and nothing of the data plane. Its tests
// run whole clusters in simulated time on simulated disks and links; those that seed faults need the build tag
// "mutants".
package control
