package instances

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
	"mulleinrouter/internal/logging/logtest"
)

const pageBytes = 64 << 10

// The persisted instances are returned in pages that contain each departing instance exactly once, in order of their
// ids. The encoded frame of a page does not exceed the limit.
func TestPersistedInstancesComeInPages(t *testing.T) {
	is := is.New(t)
	disk, _, err := storage.Open(vfs.NewMem(), "d", logtest.Discard())
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(disk.Close()) })
	r := New(replication.NewStore(1), 1.5, func() float64 { return 1 })
	var all []registry.Instance
	var want []string
	for n := range 3000 {
		instance := registry.Instance{
			ID:      fmt.Sprint("server-", n),
			Address: "10.0.0.1:80",
			Service: "s",
			Zone:    "z",
			Seq:     1,
			Phase:   registry.Draining,
		}
		if n%4 == 0 {
			instance.Phase = registry.Serving
		} else {
			want = append(want, instance.ID)
		}
		all = append(all, instance)
	}
	r.Merge(all)
	r.PersistDepartures(disk, IDs(all)...)
	slices.Sort(want)
	var got []string
	pages := 0
	for more, after := true, ""; more; pages++ {
		var page []registry.Instance
		page, more = r.PersistedAfter(after, pageBytes)
		frame, err := transport.Append(nil, &transport.Frame{CatchUpChunk: &transport.CatchUpChunk{Instances: page}})
		is.NoErr(err)
		is.True(len(frame) <= pageBytes)
		is.True(len(page) > 0)
		got = append(got, IDs(page)...)
		after = page[len(page)-1].ID
	}
	is.Equal(got, want)
	is.True(pages > 2)
	t.Logf("%d instances in %d pages", len(got), pages)
}
