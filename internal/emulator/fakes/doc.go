// Package fakes contains small HTTP servers that replace the external systems of an ingress in tests: quote servers
// (QuoteServer), endpoint discovery with its watch (Discovery) and a billing endpoint (Billing). They implement the
// protocol in the operators' PROTOCOL.md and listen only on loopback. The fake quota counter is package
// standalone/counterserver.
//
// Tests, the emulator's packages, and the commands `mulleinrouter try` and `mulleinrouter fault-test` use them; a
// serving ingress does not. The package may import the packages that define its message types (usage, usageexport,
// discovery, leaseservice). Each fake owns its state, which exists from Start to Stop. A mutex guards the state, and
// methods return copies of it.
//
// The tests in this package check the fakes themselves. The tests of usageexport, node, cli and cmd/mulleinrouter, and
// the fault tests of emulator/faulttest, check the ingress against the fakes.
package fakes
