// Package control implements a control node, the program that runs on each core machine.
//
// A control node accepts configuration changes from operators and proposes them to the voters, accepts heartbeats from
// servers and detects which servers are silent, streams configuration and instances to the agents, and keeps the quota
// counters that it owns. This package connects the components and owns their life cycle: node.go makes, starts and
// stops them, wiring.go connects them to one another, watch.go does the periodic work, internal_server.go serves agents
// and other control nodes, counters.go keeps the quota counters, coordination.go connects the shards through which
// applications coordinate, and view.go and metrics.go provide what operators see. The components, each documented in
// its own package, in the order in which they process a change of the configuration:
//
//	httpapi       HTTP calls of servers, operators and applications
//	connlimit     limits on connections
//	majority      the lease on contact with a majority
//	proposals     the queue of changes that are proposed to the voters
//	peers         connections to the other control nodes
//	replica       this node's replica of the configuration, and its vote
//	storage       this node's disk
//	catchup       fetching of changes that the replica does not have
//	electorate    the set of voters, and their replacement
//	instances     server instances, and the copies of their departures
//	ingresslease  the leases of ingresses
//
// Package shards serves the calls of applications and takes no part in these changes.
//
// The package may import packages of cluster, the packages below this one and package mutants, and nothing of the data
// plane. Its tests run whole clusters in simulated time on simulated disks and links; those that seed faults need the
// build tag "mutants".
package control
