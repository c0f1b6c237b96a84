// Package agent implements the agent, the program that runs next to each proxy on an edge machine.
//
// The agent subscribes to the control nodes it knows, merges their updates into one store, renews the lease of its
// ingress and forwards the proxy's counter calls to the owner of each counter. It is the only source of updates for the
// proxy, which connects to it over loopback.
//
//   - run.go: the lifecycle of the process: signals, settings, shutdown;
//   - agent.go: the Agent and its parts;
//   - sources.go: the subscriptions to control nodes, from the settings and from the list of voters;
//   - cluster_view.go: what the states of all sources imply: quorum, number of ingresses, readiness of the agent;
//   - proxies.go: the connections of proxies and of observers, which only read the agent's state;
//   - counters.go: the forwarding of counter calls;
//   - link_delay.go: the queueing delay of the machine's link;
//   - report.go: the status report of a running agent;
//   - metrics.go and errors.go.
//
// All state is in memory; the store is filled again after each start. The goroutines of the subscriptions and of the
// metrics end with the context of Run, which waits for them. Within this project, the package imports only the
// packages under internal/cluster. Its tests are in the same folder; they connect an agent to fake control nodes over
// in-memory connections.
package agent
