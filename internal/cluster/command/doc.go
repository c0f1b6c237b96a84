// Package command is the frame that the programs of the system share: their command line and exit codes, the limits
// that they set to the Go runtime, and their logger.
//
//   - main.go: Main, the options of "serve", and the exit of a program;
//   - settings.go: the file of link faults, and the program's start;
//   - errors.go: which errors end a program with which exit code.
//
// What mulleinrouter has too is in package commandline. This one imports it, settings, metrics and linkfaults, and
// nothing else of the project. The programs themselves are in cmd, which only wires; the tests of package
// emulator/loopback run them as processes.
package command
