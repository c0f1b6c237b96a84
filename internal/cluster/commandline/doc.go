// Package commandline has the parts of a command line that the programs of the system share with mulleinrouter, the
// command line for people.
//
//   - settings.go: the settings file as an argument or a flag, and Load;
//   - check.go: the command "check", and what matters to a program in its settings;
//   - version.go: the command "version", and what a program knows of its build;
//   - output.go: the flag --output, tables and JSON;
//   - errors.go: the error of a settings file that cannot be used.
//
// It imports settings and nothing else of the project: mulleinrouter also serves as an ingress, whose memory is scarce,
// and must not link what only a control node, an agent or a proxy needs. What these need is in package command. The
// package has no state. Its tests are beside it.
package commandline
