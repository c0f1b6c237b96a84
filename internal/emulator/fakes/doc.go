// Package fakes contains small HTTP servers that replace the external systems of an ingress in tests: quote servers
// (QuoteServer), endpoint discovery with its watch (Discovery) and a billing endpoint (Billing). They implement the
// operators' PROTOCOL and listen only on loopback. The fake quota counter is package standalone/counterserver.
//
// Tests, the emulator's packages and `mulleinrouter try` use them; production programs do not. The package may import
// the packages that define its message types (usage, usageexport, discovery, leaseservice). Each fake owns its state,
// which exists from Start to Stop. A mutex guards the state, and methods return copies of it.
//
// The tests in this package check the fakes themselves. The tests of usageexport, discovery, node and cli, and the
// fault tests of emulator/faulttest, check the ingress against the fakes.
package fakes
