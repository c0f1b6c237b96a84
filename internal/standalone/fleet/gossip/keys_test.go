//go:build !race

package gossip

import (
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/standalone/fleet/keyring"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// TestKeyRotationDuringPartition rotates the key while a third of the fleet is partitioned and doesn't reload its key
// file. It checks that the partitions rejoin while both keys are in use, and that the new key alone is enough once all
// members have it.
func TestKeyRotationDuringPartition(t *testing.T) {
	const n = 12
	keyFile := filepath.Join(t.TempDir(), "keys")
	oldKey := base64.StdEncoding.EncodeToString(make([]byte, 32))
	newKey := base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))
	write := func(lines ...string) {
		t.Helper()
		if err := os.WriteFile(keyFile, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("# of the fleet", oldKey)
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(n, 6)
		for i := range n {
			tf.start(i, membership.Serving, func(o *Options) { o.KeyFile = keyFile })
			time.Sleep(time.Second / n)
		}
		defer tf.stop()
		tf.requireComplete(t, time.Minute)
		reload := func(selected func(i int) bool) {
			t.Helper()
			for i, f := range tf.members {
				if !selected(i) {
					continue
				}
				if err := f.Reload(); err != nil {
					t.Fatal(err)
				}
			}
		}
		all := func(int) bool { return true }
		isCutOff := func(i int) bool { return i%3 == 0 }

		write(oldKey, newKey)
		reload(all)
		tf.cut(func(from, to int) bool { return isCutOff(from) != isCutOff(to) })
		write(newKey, oldKey)
		reload(func(i int) bool { return !isCutOff(i) })
		time.Sleep(10 * time.Second)
		write("nonsense")
		err := tf.members[0].Reload()
		if !errors.Is(err, keyring.ErrKeys) || !strings.Contains(err.Error(), keyFile+":1") {
			t.Errorf("an invalid file: got %v, want %v with the file and line", err, keyring.ErrKeys)
		}
		tf.network.Links.Heal()
		took, ok := waitUntil(time.Minute, tf.isComplete)
		t.Logf("complete again with two keys after %v", took)
		if !ok {
			t.Error("with two keys in use the partitions don't rejoin")
		}
		write(newKey)
		reload(all)
		time.Sleep(10 * time.Second)
		if !tf.isComplete() {
			t.Error("with the new key alone the members don't reach each other")
		}
	})
}
