// Package proxy implements the proxy, the program on an edge machine that serves clients.
//
// It connects the data plane (packages ingress, engine, upstream and decision) with what the agent on the same machine knows of
// configuration, servers and counters (control_feed.go), translates between the protocol on the wire and the decision module
// (translator.go), and answers the platform's question for readiness (readiness.go). It goes on serving with what it has while
// the agent is away.
//
// It may import the folders of packages dataplane and cluster, and decision.
package proxy
