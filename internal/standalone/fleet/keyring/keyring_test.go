package keyring

import (
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRead checks that the keys of a valid file are read, and that the error of an invalid file names the file and line
// but not the key.
func TestRead(t *testing.T) {
	key := func(size int) string { return base64.StdEncoding.EncodeToString(make([]byte, size)) }
	for _, tc := range []struct {
		name  string
		text  string
		sizes []int  // sizes of the keys that are read, in bytes
		err   string // part of the error text; empty: no error
	}{
		{"all sizes", "# of the fleet\n" + key(16) + "\n\n " + key(24) + " \n" + key(32) + "\n", []int{16, 24, 32}, ""},
		{"no key", "# none\n", nil, "keys:1: 0 keys"},
		{"too many keys", strings.Repeat(key(16)+"\n", maxKeys+1), nil, "keys:1: 9 keys"},
		{"not base64", key(16) + "\nsecret?\n", nil, "keys:2: not base64"},
		{"wrong size", "#\n" + key(17), nil, "keys:2: 17 bytes"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			keys, err := Read(path)
			if tc.err != "" {
				if !errors.Is(err, ErrKeys) || !strings.Contains(err.Error(), tc.err) ||
					strings.Contains(err.Error(), "secret") {
					t.Errorf("got %v, want %q without the key", err, tc.err)
				}
				return
			}
			if err != nil || len(keys) != len(tc.sizes) {
				t.Fatalf("got %d keys, %v; want %d", len(keys), err, len(tc.sizes))
			}
			for i, size := range tc.sizes {
				if len(keys[i]) != size {
					t.Errorf("key %d: got %d bytes, want %d", i, len(keys[i]), size)
				}
			}
		})
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, ErrKeys) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: got %v, want %v and %v", err, ErrKeys, os.ErrNotExist)
	}
}
