// Package handover determines the share of one ingress that each of its processes has while a newer process
// replaces an older one. Quotas, rate limits and concurrency limits apply to the ingress as a whole, so its
// processes together must never use more than one ingress may.
//
// The package does no I/O and reads no clock: Member.Heartbeat takes the other processes' records and the
// time, in seconds of a clock that the processes of one machine share (Unix time). It imports only
// internal/mutants. Its state belongs to the caller (package node), which reads and writes the records
// through package state. Record is stored as JSON, so its tags must not change.
//
// The tests in this folder are a table of single heartbeats and random runs of several processes, and mutants_test.go
// seeds faults. Package state tests the records of an earlier version.
package handover
