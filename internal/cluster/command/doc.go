// Package command is the framework that the programs of the system share: their command line and exit codes, the limits
// that they set for the Go runtime, and their logger.
//
//   - main.go: Main, the options of "serve", and the exit of a program;
//   - settings.go: the flag for the file of link faults, and the start of a program;
//   - errors.go: the exit codes for errors.
//
// Package commandline contains the parts that mulleinrouter needs too. Within the project this package imports only
// commandline, settings, metrics, linkfaults and logging. The programs themselves are in cmd, which only connects
// packages; the tests of package emulator/loopback run them as processes.
package command
