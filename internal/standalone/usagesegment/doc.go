// Package usagesegment records an ingress's usage in files of a folder that outlives its processes.
//
// A segment is preallocated and memory-mapped, and a record is written by stores to memory. It is in the page
// cache at once, so a killed process loses no record, and a request waits for system calls only if its record begins
// a new segment. Segments are synced twice a second, so a power loss costs at most the records of that time and the
// one that was being written. Space is allocated before it is used, so a full disk is noticed when a segment begins,
// and never causes a memory fault within one.
//
// Package dataplane/usage, which it imports, defines the format of records. Writer locks the folder with a lock file,
// and its mutex guards the segments. Writer.Run syncs and closes segments in a goroutine. The caller ends it by the
// context and waits for it before Close.
//
// The tests in this folder cover full disks, killed processes, partial records, and segments of an earlier
// version (golden_test.go).
package usagesegment
