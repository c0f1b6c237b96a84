// Package retry limits the retries of requests by a budget, so that they cannot overload failing servers.
//
// Retries help if one server fails and others are healthy. If all servers fail, they do harm: each request
// costs several attempts, which keeps the servers overloaded. Therefore a retry of an attempt that may have
// been executed always costs a token. A retry of an attempt that was certainly not executed (rejected,
// connection refused) costs a token only while the group as a whole fails, or if the budget is divided
// (Divided). Each first attempt adds a tenth of a token, or the share given to Divided. Each gateway limits
// its retries that cost a token to that share of its own first attempts. Therefore, over all gateways, these
// retries are limited to the same share of all first attempts, whatever their distribution over the gateways,
// and without communication.
//
// The package does no I/O, reads no clock and imports no other package of this module. A gateway (package
// decision) has a Budget for each group of servers.
package retry
