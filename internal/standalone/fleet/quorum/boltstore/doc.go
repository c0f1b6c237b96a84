// Package boltstore implements quorum.Store in a bbolt file. Each batch is one transaction, which is synced to disk
// before Save returns.
//
// Values carry checksums, because bbolt has checksums only in its meta pages. If a file does not hold what was written,
// Open returns quorum.ErrCorrupt, and the voter does not vote under its id again. The owner of a Store closes it; its
// methods must not be called concurrently. The package imports bbolt, raft's messages, protobuf, CBOR and package
// quorum. It is tested in its own folder, where landed_test.go reads a file of an earlier version.
package boltstore
