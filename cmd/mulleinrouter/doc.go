// Command mulleinrouter is one ingress: it accepts clients' requests, has the decision module decide on each, and
// carries the decisions out on connections to quote servers and the quota counter. Commands for its operators are
// part of it: `mulleinrouter --help` lists them.
//
// The command only wires: the command line is internal/standalone/cli. Its tests start processes of the program and
// play dialogues with them (testdata), fault tests (deploy/faulttests) and upgrades under load.
package main
