// Package handover decides which share of one ingress each of its processes has while a newer process
// replaces an older one. Quotas, rate limits and concurrency limits hold for the ingress: together, its
// processes must never use more than one ingress may.
//
// The package does no I/O and reads no clock: Member.Heartbeat takes the other processes' records and the
// time, in seconds of a clock that the processes of one machine share (Unix time). It imports
// internal/mutants alone. Its state belongs to the caller (package node), which reads and writes the records
// through package state. Record is stored as JSON: its tags must not change.
//
// Tests: a table of single heartbeats and random runs of several processes beside the code (mutants_test.go
// seeds faults); files of an earlier version in package state.
package handover
