// Package agent implements the agent, the program that runs beside each proxy on an edge machine.
//
// The agent subscribes to the control nodes it knows, merges what they send into one store, renews the lease of its
// ingress, forwards the proxy's counter calls to the owner of each counter, and is itself the only source of updates
// for the proxy, over loopback.
//
//   - run.go: the life of the process: signals, settings, shutdown;
//   - agent.go: the Agent and its parts;
//   - sources.go: the subscriptions to control nodes, from the settings and from the electorate;
//   - cluster_view.go: what follows from the states of all sources: quorum, members, whether the agent is ready;
//   - proxies.go: the connections of proxies and of observers;
//   - counters.go: the forwarding of counter calls;
//   - link_delay.go: the queueing delay of the machine's link;
//   - report.go: what a running agent reports of itself;
//   - metrics.go and errors.go.
//
// All state is in memory: the store is filled anew at each start. The goroutines of the subscriptions and of the
// metrics end with the context of Run, which waits for them. The package imports the folders of package cluster and
// nothing else of the project. Its tests stand beside it; they run an agent among control nodes over in-memory
// connections.
package agent
