// Package keyring reads the keys with which a fleet seals what its members say to each other.
package keyring

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"
)

// ErrKeys tells that a key file cannot be used. Nothing of it is taken.
var ErrKeys = errors.New("key file")

const mostKeys = 8

// Read reads a key file: a key a line, as base64 of 16, 24 or 32 bytes (AES-GCM). The first seals what is sent, all open
// what comes, so that a new key is first added behind the old one everywhere, then put before it, and the old one taken
// away at last. Lines that begin with # are passed over. Errors name the file and the line.
func Read(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%w: %s:%d: not base64", ErrKeys, path, n+1) // the key itself is not for the log
		}
		if size := len(key); size != 16 && size != 24 && size != 32 {
			return nil, fmt.Errorf("%w: %s:%d: %d bytes, 16, 24 or 32 are wanted", ErrKeys, path, n+1, len(key))
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > mostKeys {
		return nil, fmt.Errorf("%w: %s:1: %d keys, from 1 to %d are wanted", ErrKeys, path, len(keys), mostKeys)
	}
	return keys, nil
}
