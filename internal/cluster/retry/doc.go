// Package retry provides functions that the programs of the system share for waiting and retrying until a context ends.
//
// It holds no state and starts no goroutine that outlives a call. Within the project it imports only transport.
package retry
