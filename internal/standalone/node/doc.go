// Package node assembles one ingress from its configuration and runs its life cycle: start, reload, graceful
// shutdown.
//
// It connects the engine with the decision module, the ingress server, the management server, discovery, the quota
// counter, the catalogue of plans, usage records and the fleet. Each of these is in its own package, and so are its
// decisions. Package node may import decision and every package of dataplane and standalone. Only its tests import
// packages of emulator.
//
// A Node owns everything that Start opens. Its goroutines end with its context or when their listener closes, and stop
// waits for them. Resources are closed in the reverse order of their opening.
//
// The files are node.go (start), shutdown.go (drain and stop), reload.go (SIGHUP), catalogue.go (revisions of plans),
// usage.go (usage records), management.go (the management address), fleet.go and fleetcalls.go (the other ingresses),
// peers.go (other processes of this ingress during an upgrade), limits.go (limits of the machine) and errors.go.
//
// The tests are in this folder; those of whole processes are in cmd/mulleinrouter.
package node
