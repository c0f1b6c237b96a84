// Package testcluster runs several ingresses as processes on loopback among fakes, under the load of many members.
// During a run it can change plans, book additional units, kill an ingress and kill exporters. At the end it compares
// the bill with what the fake quote servers counted. Its Process also serves the fault tests.
//
//   - options.go: Options, the plans and the members;
//   - cluster.go: Run, from the start of all fakes and processes to their end;
//   - ingress.go: the configuration and the start of ingresses and exporters;
//   - events.go: changes and faults while there is load;
//   - load.go: the members' requests;
//   - evaluation.go: comparison of what clients, quote servers and billing observed;
//   - report.go: Report, its verdict and its text;
//   - process.go: Process, a process of the program and the lines of its log;
//   - errors.go: the errors of the package.
//
// It imports emulator/fakes, emulator/procstat, the counter server, the plans and their catalogue, the type of targets
// of the service discovery, and the usage records. It is imported by the program's subcommands and by
// emulator/faulttest. A Run owns its processes, fakes and goroutines, and has ended all of them when it returns. It
// removes its files only if Options.Dir is empty. A Process belongs to the caller of Launch. The tests in this package
// cover the parts that run without processes of the program; the subcommand try runs a complete cluster.
package testcluster
