// Package standalone groups the packages that only the stand-alone ingress (cmd/mulleinrouter, cmd/adapter) uses: its
// configuration and command line, its external discovery and counter services, plans, usage records, the fleet that
// ingresses form among themselves, and upgrades in place. The other programs of the system import none of these
// packages.
package standalone
