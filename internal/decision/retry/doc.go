// Package retry decides whether a retry of a request may be afforded.
//
// A retry is good where one server fails and others are healthy, and harmful where all fail: then each
// request costs several attempts, which is what keeps the servers down. So a retry of what may have been
// executed always costs a token, and one of what was certainly not executed (rejected, connection refused)
// costs one as soon as the group as a whole fails. First attempts save up tokens, a tenth for each. Each
// gateway holds its retries to a tenth of its own first attempts, so all of them together hold to a tenth of
// all, however the first attempts are spread, and without communication.
//
// The package does no I/O, reads no clock and imports nothing of this repository. A gateway (package
// decision) owns a Budget for each group of servers. Its tests stand beside it.
package retry
