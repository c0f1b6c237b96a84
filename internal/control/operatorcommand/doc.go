// Package operatorcommand is the operators' commands on voters and learners, as kong parses them: the program control
// and the command line mulleinrouter both have them.
//
// members.go prints the voters and learners, replace.go replaces a voter, target.go finds the control node that is
// asked. Commands have no state; they write to the io.Writer that the program binds. The package imports cluster's
// commandline (settings files, forms of output) and operatorapi, which makes the calls. Its tests are beside it.
package operatorcommand
