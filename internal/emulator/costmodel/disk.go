package costmodel

import (
	"context"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/control/storage"
)

// measureDisk measures the series of the processor time to save a change, with a file system in memory.
func measureDisk(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "vault.save",
			Description: "a batch in a storage.Store on a disk in memory, one sync",
			SizeUnit:    "items",
		},
		sizes:      []int{1, 4, 16, 64, 256},
		operations: 100,
		prepare: func(n int) func(int) {
			store, _, err := storage.Open(vfs.NewMem(), "data", log.NewNopLogger())
			if err != nil {
				m.fail(err)
				return func(int) {}
			}
			return func(i int) {
				batch := storage.Batch{
					Acceptor: &consensus.Acceptor{Epoch: uint64(i)},
					Items:    generate(n, func(j int) configuration.Item { return tenant(j, i+1) }),
				}
				_ = store.Save(context.Background(), batch)
			}
		},
	})
}
