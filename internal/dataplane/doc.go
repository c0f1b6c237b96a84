// Package dataplane groups what the proxy of the system and the ingress in service share:
//
//   - http1 reads and writes HTTP/1.1 messages, traffic counts their bytes;
//   - ingress serves clients; clientconn holds the state machine of a client's connection;
//   - engine runs the decision module, attempt holds the state machine of a request;
//   - upstream sends attempts to backends; upstreamconn holds the state machine of a connection to a backend;
//   - backoff spaces retries, usage records what is billed.
//
// These packages import one another, decision and mutants, and nothing else of this module. Their tests are beside
// them; the model checker (internal/emulator/modelcheck) drives the state machines.
package dataplane
