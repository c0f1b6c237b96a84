// Package keyring reads the file of keys with which the members of a fleet encrypt and authenticate their
// messages. It imports only the standard library and holds no state; gossip.Fleet owns the keys. It is tested by
// keyring_test.go and, for the rotation of keys in a running fleet, by the tests of package gossip.
package keyring
