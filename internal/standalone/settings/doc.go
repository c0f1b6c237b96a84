// Package settings decodes the JSON settings object of a gateway, and checks an object that is to replace it at a
// reload.
//
// The simulator's adapter and the standalone ingress both decode the object here, so that no key has two meanings.
// The package has no state and does no I/O. It may import the decision module, whose settings it returns, and
// jsontext.
package settings
