// Package dataplane groups the packages that forward requests. The proxy (internal/proxy) and the standalone ingress
// (internal/standalone) share them:
//
//   - http1 reads and writes HTTP/1.1 messages; traffic counts the bytes on the wire;
//   - ingress serves clients; clientconn holds the state machine of a client's connection;
//   - engine runs the decision module; attempt holds the state machine of a request;
//   - upstream sends attempts to backends; upstreamconn holds the state machine of a connection to a backend;
//   - backoff spaces calls to a shared service after failures; usage defines what is billed.
//
// Within this module, these packages import only one another, decision and mutants. Their tests are in the same
// folders. In addition, the model checker (internal/emulator/modelcheck) explores the state machines.
package dataplane
