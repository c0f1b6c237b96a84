// Package retry waits and retries until a context ends: what the programs of the system share of it.
//
// It holds no state and starts no goroutine that outlives a call. It imports transport, and nothing else of the
// project.
package retry
