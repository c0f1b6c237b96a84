// Package replication replicates the configuration and the server instances from one process to the next.
//
// A Store has all items and instances, and the order in which they last changed. A Source sends a subscriber the
// changes after the incarnation and sequence number in the subscriber's hello. Digests of buckets avoid sending entries
// that both already have. A Client maintains a subscription to one source. Clock is the common clock of the control
// nodes.
//
//   - store.go, slots.go and changes.go: the Store, its entries, and what changed since a sequence number;
//   - digests.go: the comparison of two stores by bucket;
//   - source.go, feed.go and chunk_cache.go: the serving side of a subscription;
//   - client.go, session.go, repair.go, initial_sync.go and dial.go: the subscribing side;
//   - clock.go: the common clock.
//
// Store and Clock do no I/O and are safe for concurrent use. A Client runs on the goroutine of the caller of Run, which
// returns when its context ends. A Source serves each connection on the goroutine that calls Serve, and on one more,
// which has ended when Serve returns.
//
// The package imports configuration, registry, transport and mutants, and nothing else of the project. Its tests run
// clients and sources over in-memory connections and a synthetic clock.
package replication
