// Package transport is the wire format between the processes of the system, and the connections that carry it:
// length-prefixed frames of CBOR (RFC 8949), over TCP between machines and over loopback between a proxy and its
// agent.
//
// A Frame holds one message. Messages are in frame.go (the envelope and the subscription to a source),
// consensus_messages.go (between control nodes) and catchup_messages.go. Their field numbers are the protocol: a
// number is never used again, and an unknown one is ignored, so processes of neighbouring versions understand each
// other.
//
// Whatever arrives is untrusted input (codec.go): lengths are bounded, and a frame that can't be decoded ends its
// connection. A Conn (conn.go, with its sending side in sender.go and its calls in calls.go) multiplexes calls and
// one-way frames over one connection. It owns the connection; its goroutines are the callers' own and those that Run
// starts for calls that may block.
//
// Errors are in errors.go. The package may import the packages of cluster whose types are on the wire: configuration,
// consensus, quota and registry.
//
// Tests: transport_test.go, with frames that are broken at random; golden_test.go compares each type of message, byte
// for byte, with what version 76a3bb5 sent.
package transport
