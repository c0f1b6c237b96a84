// Package gossip connects an ingress with the others of its fleet. It runs the SWIM protocol of
// hashicorp/memberlist (with Lifeguard, encrypted by the fleet's keys), passes the reports of the protocol and of
// direct probes to the state machine of package membership, and carries payloads of the packages that build on
// membership (see Topic, Fleet.Send and Fleet.Handle).
//
// It imports membership and keyring. Fleet owns the view, which its mutex guards. The goroutine of runner.run owns the
// instances of the protocol; a second goroutine writes the record to disk. Fleet.Stop ends both and waits for them. An
// instance owns its transport, whose Shutdown ends the goroutine that forwards received packets and streams, and waits
// for it. Calls of memberlist that may block on the network (joining, sending by a stream) run in goroutines that
// Fleet.Stop waits for too (Fleet.spawn). They end early although memberlist takes no context, because the shutdown of
// an instance cancels its dials and closes the streams that it dialled.
//
// Record is stored as JSON, messages are encoded as CBOR with numbered keys, and reports as JSON, so the tags of these
// types must not change.
//
// Tests: fleets over a simulated network in fake time (fleet_test.go); files and messages of an earlier version
// (golden_test.go); whole processes in emulator/faulttest.
package gossip
