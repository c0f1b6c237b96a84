// Package configuration is the model of the configuration: a set of items (routes, tenants, services, client limits),
// each with a version of its own and, once deleted, a tombstone. Replicas merge item by item: the highest version
// wins.
//
// Items and their history are in item.go and history.go; patch.go parses the calls of operators, with a strict JSON
// reader (json_reader.go); entities.go and parse.go read what an item's body says. A Snapshot is an immutable set of
// items (snapshot.go), which can be validated (validate.go), rendered as operators read it back (render.go) and
// walked from any position (positions.go). RoutingTable is the index by which requests find their route and their
// tenant. Both are persistent hash tries (trie.go): a change costs the same at any size. canonical.go compares bodies
// by their JSON value.
//
// Errors are in errors.go; the texts of a RejectionError are part of the operators' API.
//
// The package does no I/O, reads no clock and starts no goroutine. Its values are immutable once they are shared, so
// their readers need no lock. Of this module it imports only mutants.
//
// Tests: snapshot_test.go compares snapshots, validation and routing with a plain model; trie_test.go,
// canonical_test.go and positions_test.go test the parts; golden_test.go pins digests, positions, texts and rendered
// snapshots.
package configuration
