// Package configuration is the model of the configuration: a set of items (routes, tenants, services, client limits),
// each with its own version and, once deleted, a tombstone. Replicas merge item by item, and the highest version wins.
//
// Items and their history are in item.go and history.go. patch.go parses operators' calls with a strict JSON reader
// (json_reader.go); entities.go and parse.go decode the bodies of items. A Snapshot is an immutable set of items
// (snapshot.go) that can be validated (validate.go), rendered for operators (render.go) and iterated from any position
// (positions.go). A RoutingTable (routing_table.go) is the index that maps requests to their routes and tenants. Both
// are built on persistent hash tries (trie.go), so the cost of a change does not depend on their size. canonical.go
// compares bodies by their JSON value.
//
// Errors are in errors.go; the texts of a RejectionError are part of the operators' API.
//
// The package does no I/O, reads no clock and starts no goroutine. Its values are immutable once they are shared, so
// readers need no lock. Within this module it imports only package mutants.
//
// Tests: snapshot_test.go compares snapshots, validation and routing with a plain model; trie_test.go,
// canonical_test.go and positions_test.go test the parts; golden_test.go pins digests, positions, texts and rendered
// snapshots.
package configuration
