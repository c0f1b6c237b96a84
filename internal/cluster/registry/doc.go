// Package registry models server instances. An Instance is one incarnation of a server, and a Registry is the failure
// detector by which a control node decides which instances have timed out.
//
// Instances may be merged in any order, so two replicas agree once they have exchanged their instances.
//
//   - instance.go: Instance, its phases, and the merging of two versions of an instance;
//   - registry.go: the Registry and its limits; heartbeats and departures of servers, and merging with other processes;
//   - silence.go: detection of instances that have timed out, and expiry of silent and gone ones;
//   - queue.go: the entries of a Registry and the queues that contain them.
//
// The package does no I/O, reads no clock and starts no goroutine; it imports nothing of the project. The caller must
// serialize the calls to a Registry, as the instance registry of package control does. The tests compare it with a
// model.
package registry
