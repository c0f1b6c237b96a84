// Package storage keeps the durable state of a control node: its promises and accepted proposals as an acceptor, the
// chosen configuration, a catch-up that is in progress, the shards, and the server instances.
//
// A Store owns one folder. Open reads all of it into a State, which belongs to the caller. Afterwards the folder is
// only written to. Callers submit batches with Store.Put and wait for their sync with Future.Wait. The store's
// goroutine commits all pending batches together with one sync. Store.Close ends the goroutine and waits for it.
//
// The database (pebble) uses retryingFS, which retries operations that a failing disk rejects, and syncs a folder
// before the database relies on any name in it.
//
// Files: store.go (life cycle and commits), batch.go (what is written), state.go (what is read), records.go (keys and
// encoding), options.go (database settings), retrying_fs.go and retrying_file.go (file system), errors.go.
//
// The package may import cluster/configuration, cluster/consensus, cluster/registry and cluster/shard, whose types it
// stores, and cluster/retry and mutants.
//
// Tests: store_test.go simulates power losses at random moments and a disk that rejects writes. power_loss_test.go
// simulates a power loss after each step, with the loss of any unsynced names. size_test.go limits the folder's size.
// golden_test.go compares records and folders with those that version 76a3bb5 wrote. shard_test.go tests the records of
// shards.
package storage
