// Package transport is the wire format between the processes of the system, and the connections that carry it:
// length-prefixed frames of CBOR (RFC 8949), over TCP between machines and over loopback between a proxy and its
// agent.
//
// A Frame holds one message. Messages are in frame.go (the envelope and the subscription to a source),
// consensus_messages.go (between control nodes), catchup_messages.go and coordination_messages.go. Their field numbers
// define the protocol. A number is never used again, and unknown numbers are ignored, so that processes of neighbouring
// versions understand each other.
//
// All received data is untrusted input (codec.go): lengths are bounded, and a frame that can't be decoded ends its
// connection. A Conn (conn.go, with its sending side in sender.go and its calls in calls.go) multiplexes calls and
// one-way frames over one connection, which it owns. It runs on the goroutines of its callers, and on those that Run
// starts for calls that may block.
//
// Errors are in errors.go. The package may import the packages of cluster whose types are on the wire: configuration,
// consensus, coordination, quota, registry and shard.
//
// Tests: transport_test.go, with randomly damaged frames; golden_test.go compares each type of message, byte for byte,
// with the encoding by version 76a3bb5 or, for later types, by the first version that had them.
package transport
