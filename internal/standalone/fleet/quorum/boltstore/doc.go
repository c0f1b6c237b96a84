// Package boltstore is a quorum.Store in a bbolt file: each batch is one transaction, synced before Save returns.
//
// Values carry checksums, as bbolt has none below its meta pages. A file that holds anything else than what was
// written is quorum.ErrCorrupt, and its voter does not vote under its id again. The owner of a Store closes it; its
// methods must not be called concurrently. The package imports bbolt, raft's messages, CBOR and package quorum. Its
// tests are here; landed_test.go reads a file of an earlier version.
package boltstore
