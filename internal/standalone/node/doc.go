// Package node assembles one ingress from its configuration and runs its life cycle: start, reload, graceful
// shutdown.
//
// It wires the engine round the decision module, the servers of clients and of the management address, discovery,
// the quota counter, the catalogue of plans, usage records and the fleet; each of these has a package of its own,
// and decisions stay in theirs. It may import every package of dataplane and standalone, and no emulator.
//
// A Node owns everything that Start opens: goroutines run under its context and are waited for, resources are
// closed in the reverse order of their opening. The files by concern: node.go (start), shutdown.go (drain and
// stop), reload.go (SIGHUP), catalogue.go (revisions of plans), usage.go (usage records), management.go (the
// management address), fleet.go and fleetcalls.go (the other ingresses), peers.go (other processes of this ingress
// during an upgrade), limits.go (limits of the machine), errors.go.
//
// Tests are beside it; those of whole processes are in cmd/mulleinrouter.
package node
