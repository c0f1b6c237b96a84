package gossip

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"
)

// rotate replaces the keys of a ring. The first of the new keys encrypts, all of them decrypt.
func rotate(ring *memberlist.Keyring, keys [][]byte) error {
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return fmt.Errorf("gossip: rotate keys: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("gossip: rotate keys: %w", err)
	}
	for _, old := range ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, old) }) {
			if err := ring.RemoveKey(old); err != nil {
				return fmt.Errorf("gossip: rotate keys: %w", err)
			}
		}
	}
	return nil
}
