// Package metrics serves the metrics of the programs of the system in the text format of Prometheus.
//
// A program registers functions that return the value of each metric, and a Server serves them at the endpoint that
// deploy/system.toml names for its role. Nothing is computed between requests. Names follow the conventions of
// Prometheus: a prefix for the program, base units as suffix, and _total for counters. Labels take values from sets
// that are bounded in the code, so the number of series does not grow with routes, tenants or servers.
//
// A Registry belongs to the program that made it; Server.Serve runs on the goroutine of its caller and returns when the
// context ends. The package imports registry and retry, and nothing else of the project. Its tests stand beside it;
// those of the programs check their own metrics.
package metrics
