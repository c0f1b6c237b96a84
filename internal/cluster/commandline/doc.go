// Package commandline contains the parts of a command line that the programs of the system share with mulleinrouter,
// the command-line program for people.
//
//   - settings.go: the settings file as an argument or a flag, and Load;
//   - check.go: the command "check", and the settings that matter to a program;
//   - version.go: the command "version", and the build information of a program;
//   - output.go: the flag --output, tables and JSON;
//   - errors.go: the error of a settings file that cannot be used.
//
// Within the project it imports only settings, because mulleinrouter also serves as an ingress, whose memory is scarce:
// it must not link what only a control node, an agent or a proxy needs. Package command contains those parts. The
// package has no state.
package commandline
