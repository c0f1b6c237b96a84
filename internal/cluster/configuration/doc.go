// Package configuration is the model of the configuration: a set of items, each with a name, a version of its own
// and, once deleted, a tombstone. Copies merge item by item.
//
// It parses the calls of operators (patch.go), tells whether a snapshot is valid (snapshot.go), renders a snapshot as
// operators read it back, and provides the table by which requests find their route and their tenant
// (routing_table.go). Snapshots are persistent hash tries (trie.go): a change costs the same at any size. It does no
// I/O, reads no clock and starts no goroutine.
package configuration
