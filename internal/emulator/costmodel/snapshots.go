package costmodel

import (
	"bufio"
	"bytes"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
)

var snapshotSizes = []int{10000, 20000, 40000, 60000, 100000} // numbers of tenants

// measureSnapshots measures the series of the processor time to send, receive, parse and render the complete state.
func measureSnapshots(m *meter) {
	measureSnapshotSource(m)
	measureSnapshotClient(m)
	measurePatch(m)
	measureRender(m)
}

func measureSnapshotSource(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "newcomer.source",
			Description: "ChangesSince and encoding of all items for a subscriber without state, in frames of 64 KB",
			SizeUnit:    "tenants",
		},
		sizes:      snapshotSizes,
		operations: 1,
		prepare: func(n int) func(int) {
			store := storeOf(tenants(n))
			return func(int) { encodeSnapshot(store, func([]byte) {}) }
		},
	})
}

func measureSnapshotClient(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "newcomer.take",
			Description: "decoding and merging of all items by that subscriber",
			SizeUnit:    "tenants",
		},
		sizes:      snapshotSizes,
		operations: 1,
		prepare: func(n int) func(int) {
			var encoded []byte
			encodeSnapshot(storeOf(tenants(n)), func(frame []byte) { encoded = append(encoded, frame...) })
			return func(int) {
				store := replication.NewStore(2)
				decodeFrames(encoded, func(frame *transport.Frame) { store.MergeItems(frame.Update.Items) })
			}
		},
	})
}

func measurePatch(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "patch.read",
			Description: "ReadPatch and Validate of an operator's first call",
			SizeUnit:    "tenants",
		},
		sizes:      snapshotSizes,
		operations: 1,
		prepare: func(n int) func(int) {
			body := []byte(`{"upsert":`)
			body = append(body, snapshotOf(tenants(n)).RenderJSON()...)
			body = append(body, `,"remove":{}}`...)
			return func(int) {
				items, _ := configuration.ReadPatch(body)
				(*configuration.Snapshot)(nil).Validate(items)
			}
		},
	})
}

func measureRender(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "render",
			Description: "Snapshot.RenderJSON for GET /config",
			SizeUnit:    "tenants",
		},
		sizes:      snapshotSizes,
		operations: 1,
		prepare: func(n int) func(int) {
			snapshot := snapshotOf(tenants(n))
			return func(int) { snapshot.RenderJSON() }
		},
	})
}

// encodeSnapshot encodes the complete content of a store in the frames that a subscriber without state gets, and calls
// send with each frame. The bytes of a frame are overwritten by the next one.
func encodeSnapshot(store *replication.Store, send func(frame []byte)) {
	var encoded []byte
	seq := uint64(0)
	for {
		changes := store.ChangesSince(seq, maxChunk)
		seq = changes.Seq
		update := &transport.Update{
			Incarnation: incarnation,
			Items:       changes.Items,
			Instances:   changes.Instances,
			Seq:         seq,
		}
		encoded, _ = transport.Append(encoded[:0], &transport.Frame{Update: update})
		send(encoded)
		if changes.Complete {
			return
		}
	}
}

// decodeFrames decodes all frames, and calls receive with each.
func decodeFrames(encoded []byte, receive func(*transport.Frame)) {
	reader := bufio.NewReader(bytes.NewReader(encoded))
	for {
		frame, err := transport.Read(reader, transport.MaxFrame)
		if err != nil {
			return
		}
		receive(frame)
	}
}
