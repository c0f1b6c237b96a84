// Package keyring reads the file of keys with which the members of a fleet encrypt and authenticate their
// messages. It imports the standard library alone and holds no state; gossip.Fleet owns the keys. Its tests
// are keyring_test.go and, for the rotation of keys in a running fleet, those of package gossip.
package keyring
