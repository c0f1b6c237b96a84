// Package cli is the command line of mulleinrouter: its commands, their flags and output, and the exit codes.
//
// Each command is a struct that kong fills in, with a method Run. The names of commands and flags are in struct tags
// and do not depend on the names of Go fields, because operators' scripts use them. Commands keep no state after their
// run. They delegate the work to other packages: node serves, catalogue and plans manage the catalogue, usageexport
// exports usage records, and mgmt calls a running ingress. The commands fault-test, model-check and try run parts of
// the emulator, which the other packages of standalone import only in tests. The commands members, replace, shards and
// transfer-shard are shared with the program control (control/operatorcommand). The commands check and version and the
// flag --output share code with the system's other programs (cluster/commandline).
//
// The files are cli.go (the program and its exit codes), help.go (help texts), errors.go, output.go (JSON, times), a
// file for each group of commands, problems.go and ingresssummary.go (the report of check), and log.go (the log of a
// serving process). Package completion writes the scripts for shells. Tests that start processes are in
// cmd/mulleinrouter.
package cli
