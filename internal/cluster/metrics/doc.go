// Package metrics serves the metrics of the system's programs in the Prometheus text format.
//
// A program registers functions that return the value of each metric, and a Server serves them at the endpoint that
// deploy/system.toml names for its role. Nothing is computed between requests. Names follow the Prometheus conventions:
// a prefix for the program, base units as suffix, and _total for counters. The values of labels come from sets that are
// bounded in the code, so the number of series does not grow with routes, tenants or servers.
//
// A Registry belongs to the program that created it; Server.Serve runs on the caller's goroutine and returns when the
// context ends. Within the project the package imports only registry and retry. The tests of the programs check their
// own metrics.
package metrics
