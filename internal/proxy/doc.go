// Package proxy implements the proxy, the program on an edge machine that serves clients.
//
// It connects the data plane (packages ingress, engine, upstream and decision) with what the agent on the same machine
// knows of configuration, servers and counters, and translates between the protocol on the wire and the decision
// module. It goes on serving with what it has while the agent is disconnected.
//
//   - run.go: the life of the process, up to the shutdown; proxy.go: the Proxy and how its parts are connected;
//   - control_feed.go: the updates of the agent; counter_calls.go: the calls of quota counters;
//   - translator.go: requests of clients; splits.go: routes with several services;
//   - classes.go: routes and tenants as the decision module knows them;
//   - server_protocol.go: requests to servers, and what their answers prove; headers.go: the fields of the protocol;
//   - shedding.go and shedding_listener.go: load shedding at the clients' address;
//   - readiness.go, metrics.go.
//
// All state is in memory. The goroutines that Run starts end before it returns; those of connections end with their
// other side, or with the process. The package imports the folders of packages dataplane and cluster, and decision. Its
// tests stand beside it.
package proxy
