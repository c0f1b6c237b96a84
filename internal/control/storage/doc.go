// Package storage is the durable state of a control node: what it has promised and accepted as an acceptor, the chosen
// configuration, a catch-up that is under way, and the server instances whose departure was acknowledged.
//
// A Store owns one folder. Open reads all of it into a State, which the caller owns from then on; afterwards the
// folder is only written to. Callers submit batches with Store.Put and wait for their sync with Future.Wait. One
// goroutine of the store writes, and commits all pending batches together with one sync; Store.Close ends it and
// waits for it.
//
// The database (pebble) works on retryingFS, which retries what a failing disk rejects, and syncs a folder before the
// database relies on any name in it.
//
// Files: store.go (life cycle and commits), batch.go (what is written), state.go (what is read), records.go (keys and
// encoding), options.go (database settings), retrying_fs.go and retrying_file.go (file system), errors.go.
//
// It may import cluster/configuration, cluster/consensus and cluster/registry, whose types it stores, cluster/retry and
// mutants.
//
// Tests: store_test.go cuts the power at random moments and has the disk reject writes; power_loss_test.go cuts the
// power at each step and loses any names that are not synced; size_test.go bounds the folder's size; golden_test.go
// compares records and folders with what version 76a3bb5 wrote.
package storage
