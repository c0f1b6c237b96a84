// Package operatorcommand has the operators' commands on voters, learners and shards, in the form that kong parses. The
// program control and the command line mulleinrouter share them.
//
// members.go prints the voters and learners, replace.go replaces a voter, shards.go prints the shards and transfers the
// lease of one, and target.go finds the control node to call. Commands have no state. They write to the io.Writer that
// the program binds. The package imports cluster/commandline (settings files, output formats) and operatorapi, which
// makes the calls. operatorcommand_test.go tests it against an HTTP server.
package operatorcommand
