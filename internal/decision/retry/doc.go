// Package retry limits the retries of requests by a budget, so that they cannot overload failing servers.
//
// Retries help if one server fails and others are healthy. If all servers fail, they do harm: each request
// costs several attempts, which keeps the servers overloaded. So a retry of an attempt that may have been
// executed always costs a token, and a retry of one that was certainly not executed (rejected, connection
// refused) costs a token once the group as a whole fails. Each first attempt adds a tenth of a token. Each
// gateway limits its retries to a tenth of its own first attempts, so the retries of all gateways are
// limited to a tenth of all first attempts, whatever their distribution over the gateways, and without
// communication.
//
// The package does no I/O, reads no clock and imports no other package of this module. A gateway (package
// decision) has a Budget for each group of servers.
package retry
