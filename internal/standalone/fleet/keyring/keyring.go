package keyring

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"
)

// ErrKeys means that a key file can't be used. No key of the file is used then.
var ErrKeys = errors.New("key file")

// maxKeys bounds the number of keys in a file; a rotation needs two.
const maxKeys = 8

// Read reads a key file. Each line is one key in base64: 16, 24 or 32 bytes, for AES-GCM. Empty lines and
// those that begin with # are ignored. The first key encrypts and all keys decrypt, so a key is rotated in three
// steps, each on all members: add the new key after the old one, move it to the front, remove the old one. Errors
// wrap ErrKeys, name the file and the line, and don't contain the key.
func Read(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%w: %s:%d: not base64", ErrKeys, path, i+1)
		}
		if size := len(key); size != 16 && size != 24 && size != 32 {
			return nil, fmt.Errorf("%w: %s:%d: %d bytes, but a key must have 16, 24 or 32", ErrKeys, path, i+1, size)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("%w: %s:1: %d keys, but a file must have 1 to %d", ErrKeys, path, len(keys), maxKeys)
	}
	return keys, nil
}
