// Package linkfaults injects network partitions into the connections that a process opens, for fault tests: a file
// names the hosts to which, or from which, nothing is carried.
//
// An Injector reads its file from a goroutine that ends with the context; the current Partition is an immutable value.
// The package imports nothing of the project. Its tests stand beside it.
package linkfaults
