// Package command is the frame that the programs of the system share: their command line, exit codes and version, the
// settings that they load, the limits that they set to the Go runtime, and their logger.
//
//   - main.go: Main, the options of "serve", exit codes and version;
//   - settings.go: the settings file on the command line, and the program's start;
//   - errors.go: which errors end a program with which exit code.
//
// It imports settings, metrics, linkfaults and logging, and nothing else of the project. The programs themselves are in
// cmd, which only wires; the tests of package emulator/loopback run them as processes.
package command
