// Package replication carries changes of the configuration and of server instances from one process to the next.
//
// A Store holds all items and instances, and the order in which they last changed. A Source sends a subscriber what it
// lacks, given the pair of incarnation and sequence number that the subscriber names; digests of buckets spare what
// both hold already. A Client keeps a subscription to one source. Clock is the common clock of the control nodes.
//
//   - store.go, slots.go and changes.go: the Store, its entries, and what changed since a sequence number;
//   - digests.go: the comparison of two stores by bucket;
//   - source.go, feed.go and chunk_cache.go: the serving side of a subscription;
//   - client.go, session.go, repair.go, initial_sync.go and dial.go: the subscribing side;
//   - clock.go: the common clock.
//
// Store and Clock do no I/O and are safe for concurrent use; each belongs to the process that made it. A Client's
// goroutine is that of its caller: Run returns when its context ends. A Source serves each connection on the goroutine
// that calls Serve, and one more that has ended when Serve returns.
//
// The package imports configuration, registry and transport, and nothing else of the project. Its tests stand beside
// it; they run clients and sources over in-memory connections and a synthetic clock.
package replication
