// Package registry is the model of server instances: an Instance is one incarnation of a server, and the Registry is
// the failure detector by which a control node decides which instances have timed out.
//
// Instances merge, so two replicas agree once they have exchanged what they know, in whatever order.
//
//   - instance.go: Instance, its phases, and how two versions of one merge;
//   - registry.go: the Registry and its bounds; heartbeats and departures of servers, and what other processes know;
//   - silence.go: which instances have timed out, and when a silent or gone one is forgotten;
//   - queue.go: the entries of a Registry and the queues that they stand in.
//
// The package does no I/O, reads no clock and starts no goroutine; it imports nothing of the project. A Registry
// belongs to its caller, who serializes the calls (package control: its instance registry). The tests beside it compare
// it with a model.
package registry
