// Command mulleinrouter is one ingress. It accepts clients' requests, asks the decision module what to do with each,
// and carries out the decisions on connections to quote servers and the quota counter. It also has the commands for
// operators, which `mulleinrouter --help` lists.
//
// This package is only the entry point; package internal/standalone/cli implements the command line. The tests start
// processes of the program. They play scripted dialogues with them (testdata), and run fault tests
// (deploy/faulttests) and upgrades under load.
package main
