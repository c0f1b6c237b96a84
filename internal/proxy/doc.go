// Package proxy implements the proxy, the program on an edge machine that serves clients.
//
// It connects the data plane (packages ingress, engine, upstream and decision) with the configuration, the servers and
// the counters that the agent on the same machine provides, and translates between the wire protocol and the decision
// module. While the agent is disconnected, it continues to serve with the last state it received.
//
//   - run.go: the lifecycle of the process, including shutdown; proxy.go: the Proxy and the wiring of its parts;
//   - control_feed.go: updates from the agent; counter_calls.go: calls to quota counters;
//   - translator.go: requests of clients; splits.go: routes with several services;
//   - classes.go: conversion of routes and tenants for the decision module;
//   - server_protocol.go: requests to servers and classification of their answers; headers.go: header fields;
//   - shedding.go and shedding_listener.go: load shedding on the address that clients connect to;
//   - readiness.go, metrics.go.
//
// All state is in memory. The goroutines that Run starts end before it returns; those of connections end when the peer
// closes the connection or the process ends. Within this project, the package imports only package decision and the
// packages under internal/dataplane and internal/cluster. Its tests are in the same folder.
package proxy
