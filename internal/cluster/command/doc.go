// Package command is the frame that the programs of the system share: their command line, exit codes and version, the
// settings that they load, the limits that they set to the Go runtime, and their logger. The command line mulleinrouter
// has the parts of it that people use.
//
//   - main.go: Main, the options of "serve", and the exit of a program;
//   - settings.go: the settings file on the command line, and the program's start;
//   - check.go: the command "check", and what matters to a program in its settings;
//   - version.go: the command "version", and what a program knows of its build;
//   - output.go: the flag --output, tables and JSON;
//   - errors.go: which errors end a program with which exit code.
//
// It imports settings, metrics and linkfaults, and nothing else of the project. The programs themselves are in cmd,
// which only wires; the tests of package emulator/loopback run them as processes.
package command
