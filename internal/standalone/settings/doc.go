// Package settings decodes the settings object of a gateway, and checks one that is to replace it in service.
//
// The simulator's adapter and the ingress in service both read it here, so that a key cannot come to mean two
// things. It has no state and does no I/O; it may import the decision module, whose settings it returns, and
// jsontext. Tests are beside it.
package settings
