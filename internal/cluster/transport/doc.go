// Package transport is the wire format between the processes of the system: length-prefixed frames of CBOR, over TCP
// between machines and over loopback between a proxy and its agent.
//
// Whatever arrives is untrusted input: lengths are bounded, unknown fields are ignored, and a frame that cannot be
// decoded ends its connection. Conn multiplexes calls and one-way frames over one connection.
package transport
