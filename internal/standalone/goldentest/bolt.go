package goldentest

import (
	"fmt"
	"testing"

	"go.etcd.io/bbolt"
)

// BoltContent returns all values of a bbolt file. The keys of the map are the bucket's name, a slash, and the key in
// hexadecimal. The file must not be open elsewhere, because bbolt locks it while it is open.
func BoltContent(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	values := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				values[fmt.Sprintf("%s/%x", name, key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}
