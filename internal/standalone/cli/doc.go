// Package cli is the command line of mulleinrouter: its commands, their flags and output, and the exit codes.
//
// Each command is a struct that kong fills in and a method Run. Names of commands and flags stand in tags, not in
// the names of Go fields, for operators' scripts use them. Commands hold no state beyond their run; the work is done
// by other packages: node for serving, catalogue and plans, usageexport, mgmt for what a running ingress is asked.
// The commands fault-test, model-check and try run parts of the emulator, the only ones that standalone imports.
//
// The files: cli.go (the program and its exit codes), help.go (help texts), errors.go, output.go (tables, JSON,
// times), a file for each group of commands, and log.go (the log of a serving process). Tests are beside it; those of
// processes are in cmd/mulleinrouter.
package cli
