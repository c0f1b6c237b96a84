// Package standalone groups what only the ingress in service (cmd/mulleinrouter, cmd/adapter) has: its configuration
// and command line, its external list service and counter, plans, records of use, the fleet that ingresses form among
// themselves, and upgrades in place. The programs of the system import none of it.
package standalone
