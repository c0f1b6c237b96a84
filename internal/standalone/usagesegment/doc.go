// Package usagesegment records an ingress's usage in files of a folder that outlives its processes.
//
// A segment is preallocated and memory-mapped, and records are stores to memory: they are in the page cache
// at once, so a killed process loses nothing, and a record costs no system call in a request's path. Segments
// are synced twice a second, so a power loss costs at most that time and the record that was being written.
// Space is allocated before it is used, so a full disk shows when a segment begins, never as a fault within
// one.
//
// The format of records is that of package dataplane/usage, which it imports. Writer owns the folder, by a
// lock file, and its segments under its mutex. Writer.Run is the goroutine that syncs and closes segments;
// the caller ends it by the context and waits for it before Close.
//
// Tests: full disks, killed processes and partial records beside the code; segments of an earlier version
// (golden_test.go).
package usagesegment
