package costmodel

import (
	"mulleinrouter/internal/cluster/transport"
)

// incarnation is the incarnation of the simulated sources. Its encoding is as long as that of a real one.
const incarnation = 1 << 60

// clockReading is a time in seconds, with the microseconds that control nodes send.
const clockReading = 86400.123456

// frameOperations is the number of times that a batch of frames is encoded or decoded in one measurement.
const frameOperations = 200

// The numbers of items, frames or calls for which bytes and times are measured.
var (
	frameByteSizes = []int{1, 4, 16, 64, 256}
	frameTimeSizes = []int{10, 40, 80, 160, 300}
)

// frameKind is a kind of frame between the processes. frames returns one frame with n items, n frames, or two frames
// for each of n calls.
type frameKind struct {
	name        string // part of the names of its series
	description string
	sizeUnit    string
	frames      func(n int) []*transport.Frame
}

var frameKinds = []frameKind{
	{"tenant", "an update with n tenants; without tenants, a heartbeat", "tenants", tenantUpdate},
	{"route", "an update with n routes", "routes", routeUpdate},
	{"service", "an update with n services", "services", serviceUpdate},
	{"line", "an update with n instances", "servers", instanceUpdate},
	{"heard", "an update with n replicated heartbeats, between control nodes", "heartbeats", heartbeatUpdate},
	{"beat", "n heartbeats of a source", "heartbeats", heartbeatsOfSource},
	{"renew", "n renewals of a lease", "renewals", leaseRenewals},
	{"count", "n pairs of Add and Total", "calls", counterCalls},
}

// measureFrames measures the series of the frames: their bytes, and the time to encode and to decode them.
func measureFrames(m *meter) {
	for _, kind := range frameKinds {
		measureFrameBytes(m, kind)
		measureEncoding(m, kind)
		measureDecoding(m, kind)
	}
}

func measureFrameBytes(m *meter, kind frameKind) {
	series := Series{
		Name:        "wire." + kind.name,
		Description: "bytes of " + kind.description,
		SizeUnit:    kind.sizeUnit,
	}
	m.measureBytes(series, frameByteSizes, func(n int) int { return len(encodeFrames(nil, kind.frames(n))) })
}

func measureEncoding(m *meter, kind frameKind) {
	measureFrameTime(m, "write.", "encoding ", kind, func(frames []*transport.Frame) func(int) {
		var encoded []byte
		return func(int) { encoded = encodeFrames(encoded[:0], frames) }
	})
}

func measureDecoding(m *meter, kind frameKind) {
	measureFrameTime(m, "read.", "decoding ", kind, func(frames []*transport.Frame) func(int) {
		encoded := encodeFrames(nil, frames)
		return func(int) { decodeFrames(encoded, func(*transport.Frame) {}) }
	})
}

// measureFrameTime measures a series of the processor time of an operation on frames of a kind. namePrefix precedes the
// name of the kind, and descriptionPrefix its description.
func measureFrameTime(
	m *meter, namePrefix, descriptionPrefix string, kind frameKind, operation func([]*transport.Frame) func(int),
) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        namePrefix + kind.name,
			Description: descriptionPrefix + kind.description,
			SizeUnit:    kind.sizeUnit,
		},
		sizes:      frameTimeSizes,
		operations: frameOperations,
		prepare:    func(n int) func(int) { return operation(kind.frames(n)) },
	})
}

// encodeFrames appends the encoding of frames.
func encodeFrames(encoded []byte, frames []*transport.Frame) []byte {
	for _, frame := range frames {
		encoded, _ = transport.Append(encoded, frame)
	}
	return encoded
}

// newUpdate returns an update without items, which acts as a heartbeat of its source.
func newUpdate() *transport.Update {
	return &transport.Update{
		Incarnation: incarnation,
		Seq:         1 << 30,
		Complete:    true,
		Members:     designIngresses,
		Clock:       clockReading,
		Epoch:       1 << 20,
		Ready:       true,
		Quorum:      true,
	}
}

// updateFrame returns one frame with an update on which add was called n times.
func updateFrame(n int, add func(update *transport.Update, i int)) []*transport.Frame {
	update := newUpdate()
	for i := range n {
		add(update, i)
	}
	return []*transport.Frame{{Update: update}}
}

// updatedVersion is the version of items, and the sequence number of instances, in updates.
const updatedVersion = 7

func tenantUpdate(n int) []*transport.Frame {
	return updateFrame(n, func(update *transport.Update, i int) {
		update.Items = append(update.Items, tenant(i, updatedVersion))
	})
}

func routeUpdate(n int) []*transport.Frame {
	return updateFrame(n, func(update *transport.Update, i int) {
		update.Items = append(update.Items, route(i, referencedServices, updatedVersion))
	})
}

func serviceUpdate(n int) []*transport.Frame {
	return updateFrame(n, func(update *transport.Update, i int) {
		update.Items = append(update.Items, service(i, updatedVersion))
	})
}

func instanceUpdate(n int) []*transport.Frame {
	return updateFrame(n, func(update *transport.Update, i int) {
		update.Instances = append(update.Instances, instance(i, updatedVersion))
	})
}

func heartbeatUpdate(n int) []*transport.Frame {
	return updateFrame(n, func(update *transport.Update, i int) {
		received := transport.Heartbeat{ID: instance(i, 1).ID, Seq: 50_000}
		update.Heartbeats = append(update.Heartbeats, received)
	})
}

func heartbeatsOfSource(n int) []*transport.Frame {
	return generate(n, func(int) *transport.Frame { return &transport.Frame{Update: newUpdate()} })
}

func leaseRenewals(n int) []*transport.Frame {
	return generate(n, func(int) *transport.Frame {
		return &transport.Frame{Renewal: &transport.Renewal{Clock: clockReading, Ready: true}}
	})
}

// counterCalls returns n calls to a counter's owner, each followed by its answer.
func counterCalls(n int) []*transport.Frame {
	const firstCall = 1_000_000
	return generate(2*n, func(i int) *transport.Frame {
		call := uint64(firstCall + i)
		if i%2 == 1 {
			total := &transport.CounterTotal{OK: true, Sum: 87.125, Reporters: 40}
			return &transport.Frame{Call: call, CounterTotal: total}
		}
		add := &transport.CounterAdd{
			Name:       tenantName(i),
			Cycle:      86400,
			Reporter:   reporterName(i%designIngresses) + "#1z141z4", // with an incarnation, as the proxy sends it
			Amount:     1,
			Retention:  counterRetention,
			PerRequest: true,
			Serial:     call,
		}
		return &transport.Frame{Call: call, CounterAdd: add}
	})
}
