// Package fakes has small HTTP servers that take the place of the systems an ingress talks to: quote servers
// (QuoteServer), endpoint discovery with its watch (Discovery) and a billing endpoint (Billing). They are written
// from the operators' PROTOCOL and listen on loopback only. The fake of the quota counter is package
// standalone/counterserver.
//
// Tests, the emulator's packages and `mulleinrouter try` use them; nothing that serves does. The package may import
// the types of the messages that it answers (usage, usageexport, discovery, leaseservice). Each fake owns its state,
// which lasts from Start to Stop, is guarded by its mutex, and is handed out in copies.
//
// Tests: those of the fakes are beside the code; those of usageexport, discovery, node and cli, and the fault tests of
// emulator/faulttest, check the ingress against them.
package fakes
