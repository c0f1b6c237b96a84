// Package coordinationclient is a client for applications that coordinate through mulleinrouter's control nodes: locks
// with fencing tokens, increasing numbers, cells (small keys) and watches.
//
// A Client calls one of its addresses. After a failure, a 5xx, a 429 or a second without an answer (for a watch, six
// seconds) it tries the next address, with increasing backoff, until the context ends. Every call may be repeated
// safely, because a repeated call sees the effect of the first one.
//
// A Lock measures on the monotonic clock for how long its caller may regard itself as the holder, counted from when the
// last successful call was sent. The caller must check Valid right before each protected action and pass Fence to the
// protected resource, which must reject lower tokens, because a process that is suspended between the check and the
// action does not notice that its lock has expired.
//
// A Client and its Locks are safe for concurrent use. Nothing runs in the background. The package imports nothing of
// this project.
package coordinationclient
