// Package emulator groups what plays a deployment for tests and measurements: stand-ins and rigs for the ingress in
// service (exchange, faultnet, rehearse, rig, standin), the exhaustive explorer (explore), and for the system the
// loopback cluster of real processes (loopback), its rules (rules), days of trouble (scenario), and the model of cost
// by size (slopes, capacity). No program that serves imports it, except cmd/mulleinrouter for its subcommands.
package emulator
