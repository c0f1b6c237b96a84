// Package linkfaults injects network partitions into the connections that a process opens, for fault tests. A file
// names the hosts to which, or from which, no data passes.
//
// A goroutine of an Injector rereads the file until the context ends; the current Partition is an immutable value. The
// package imports nothing of the project.
package linkfaults
