// Package cli is the command line of mulleinrouter: its commands, their flags and output, and the exit codes.
//
// Each command is a struct that kong fills in and a method Run. Names of commands and flags stand in tags, not in
// the names of Go fields, for operators' scripts use them. Commands hold no state beyond their run; the work is done
// by other packages: node for serving, catalogue and plans, usageexport, mgmt for what a running ingress is asked.
// The commands fault-test, model-check and try run parts of the emulator, the only ones that standalone imports;
// members and replace are the commands that the program control has too (control/operatorcommand), and check, version
// and --output have parts in common with the system's programs (cluster/commandline).
//
// The files: cli.go (the program and its exit codes), help.go (help texts), errors.go, output.go (JSON, times), a file
// for each group of commands, problems.go and ingresssummary.go (what check reports), and log.go (the log of a serving
// process). Package completion writes the scripts for shells. Tests are beside it; those of processes are in
// cmd/mulleinrouter.
package cli
