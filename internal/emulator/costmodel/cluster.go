package costmodel

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
)

// servicesOfRoutes is how many services routes are spread over where the number of routes is what grows.
const servicesOfRoutes = 1000

// kinds are the kinds of items that there are many of, with what makes so many of them.
var kinds = []struct {
	name  string
	base  func() *configuration.Snapshot // needed beside them
	items func(n int) []configuration.Item
}{
	{
		"route",
		func() *configuration.Snapshot { return snapshotOf(services(servicesOfRoutes)) },
		func(n int) []configuration.Item { return routes(n, servicesOfRoutes) },
	},
	{"tenant", func() *configuration.Snapshot { return nil }, tenants},
	{"service", func() *configuration.Snapshot { return nil }, services},
}

// measureStateMemory are the live heaps of what a process knows.
func measureStateMemory(m *meter) {
	for _, k := range kinds {
		sizes := []int{2000, 8000, 24000, 60000, 150000}
		m.measureMemory(Series{Name: "book." + k.name, Description: "live heap of a Book by its " + k.name + "s", SizeUnit: k.name + "s"},
			func(int) any { return k.base() },
			func(base any, n int) any { b, _ := base.(*configuration.Snapshot).Merge(k.items(n)); return b }, sizes...)
		if k.name != "route" { // a table finds routes in the book itself
			m.measureMemory(Series{Name: "table." + k.name, Description: "live heap of a Table beside its Book", SizeUnit: k.name + "s"},
				func(n int) any { return snapshotOf(k.items(n)) },
				func(base any, n int) any {
					b := base.(*configuration.Snapshot)
					return configuration.NewRoutingTable().With(b, slices.Collect(b.All()))
				}, sizes...)
		}
		m.measureMemory(Series{Name: "store." + k.name, Description: "live heap of a feed.Store, its Book with it", SizeUnit: k.name + "s"}, nil,
			func(_ any, n int) any {
				s := replication.NewStore(1)
				s.MergeItems(k.items(n))
				return s
			}, sizes...)
	}
	m.measureMemory(
		Series{Name: "store.tombstone", Description: "live heap of a feed.Store by dropped tenants", SizeUnit: "dropped items"},
		nil,
		func(_ any, n int) any {
			s := replication.NewStore(1)
			s.MergeItems(generate(n, func(i int) configuration.Item {
				return configuration.Item{
					Key:     configuration.Key{Kind: configuration.Tenants, Name: tenantName(i)},
					Version: 2,
					Deleted: true,
					Epoch:   1,
				}
			}))
			return s
		},
		2000,
		8000,
		24000,
		60000,
		150000,
	)
	m.measureMemory(Series{Name: "store.line", Description: "live heap of a feed.Store by its lines", SizeUnit: "servers"}, nil,
		func(_ any, n int) any {
			s := replication.NewStore(1)
			s.MergeInstances(instances(n))
			return s
		}, 2000, 8000, 24000, 60000, 200000)
	m.measureMemory(
		Series{Name: "registry.line", Description: "live heap of a lines.Registry, beside the strings of its lines", SizeUnit: "servers"},
		func(n int) any { return instances(n) },
		func(base any, n int) any {
			r := registry.New(1.5)
			for _, l := range base.([]registry.Instance) {
				r.RecordHeartbeat(1, l)
			}
			return r
		},
		2000,
		8000,
		24000,
		60000,
		200000,
	)
	m.measureMemory(
		Series{
			Name:        "tally.name",
			Description: "live heap of a tally.Keeper, one holder a tenant, each call a report of its own",
			SizeUnit:    "tenants",
		},
		nil,
		func(_ any, n int) any { return counterTable(n, 1, true) },
		1000,
		4000,
		16000,
		50000,
		100000,
	)
	m.measureMemory(
		Series{
			Name:        "tally.holder",
			Description: "live heap of a tally.Keeper by the holders of one tenant, reports by cycle",
			SizeUnit:    "holders",
		},
		nil,
		func(_ any, n int) any { return counterTable(10, n/10, false) },
		1000,
		3000,
		10000,
		20000,
		33000,
	)
	m.measureMemory(Series{Name: "tally.holder.each", Description: "the same, each call a report of its own", SizeUnit: "holders"}, nil,
		func(_ any, n int) any { return counterTable(10, n/10, true) }, 1000, 3000, 10000, 20000, 33000)
}

// counterTable is a keeper that is sure of its names, with so many holders of each.
func counterTable(names, holders int, one bool) *quota.CounterTable {
	k := quota.NewCounterTable()
	k.SetMembers(0, []string{"a"}, "a", true)
	for t := range names {
		for h := range holders {
			k.Add(
				3,
				&quota.Report{
					Name:       tenantName(t),
					Cycle:      3,
					Reporter:   reporterName(h),
					Amount:     1,
					PerRequest: one,
					Serial:     1,
					Retention:  3,
				},
			)
		}
	}
	return k
}

func reporterName(n int) string { return fmt.Sprintf("edge-muscat-hall-%d", n) }

// measureChanges are the processor time of one change, and of one look-up.
func measureChanges(m *meter) {
	// smaller ones lie in the processor's caches, and are of another line
	sizes := []int{10000, 20000, 40000, 80000, 200000}
	routed, known := memoize(func(n int) *configuration.Snapshot {
		return snapshotOf(services(servicesOfRoutes), routes(n, servicesOfRoutes))
	}),
		memoize(func(n int) *configuration.Snapshot { return snapshotOf(tenants(n)) })
	tabled := memoize(func(n int) *configuration.RoutingTable {
		return configuration.NewRoutingTable().With(known(n), slices.Collect(known(n).All()))
	})
	const ops = 400
	// Each change is made beforehand, and is of another item far from the one before.
	next := func(n int, one func(i, version int) configuration.Item) [][]configuration.Item {
		return generate(repetitions*ops+1, func(i int) []configuration.Item { return []configuration.Item{one(i*7919%n, i+2)} })
	}
	m.measureTime(
		Series{Name: "change.check", Description: "Check of one route's change", SizeUnit: "routes", Logarithmic: true},
		ops,
		func(n int) func(int) {
			b, frame := routed(n), next(n, func(i, version int) configuration.Item { return route(i, servicesOfRoutes, version) })
			return func(i int) { b.Validate(frame[i]) }
		},
		sizes...)
	m.measureTime(
		Series{Name: "change.merge", Description: "Merge of one tenant's change", SizeUnit: "tenants", Logarithmic: true},
		ops,
		func(n int) func(int) {
			b, frame := known(n), next(n, tenant)
			return func(i int) { b, _ = b.Merge(frame[i]) }
		},
		sizes...)
	m.measureTime(
		Series{Name: "change.with", Description: "With of a Table for one tenant's change", SizeUnit: "tenants", Logarithmic: true},
		ops,
		func(n int) func(int) {
			b, t, frame := known(n), tabled(n), next(n, tenant)
			return func(i int) { t = t.With(b, frame[i]) }
		},
		sizes...)
	m.measureTime(
		Series{
			Name:        "change.store",
			Description: "MergeItems of a Store for one tenant's change, and Since for a subscriber",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		ops,
		func(n int) func(int) {
			s, frame := replication.NewStore(1), next(n, tenant)
			s.MergeItems(tenants(n))
			return func(i int) {
				s.MergeItems(frame[i])
				s.ChangesSince(s.Seq()-1, 64<<10)
			}
		},
		sizes...)
	m.measureTime(
		Series{
			Name:        "change.line",
			Description: "MergeLines of a Store for one line's change, and Since for a subscriber",
			SizeUnit:    "servers",
			Logarithmic: true,
		},
		ops,
		func(n int) func(int) {
			s := replication.NewStore(1)
			s.MergeInstances(instances(n))
			frame := generate(repetitions*ops+1, func(i int) []registry.Instance {
				l := instance(i*7919%n, uint64(i)+2)
				l.Phase = registry.Draining
				return []registry.Instance{l}
			})
			return func(i int) {
				s.MergeInstances(frame[i])
				s.ChangesSince(s.Seq()-1, 64<<10)
			}
		},
		sizes...)
	m.measureTime(
		Series{Name: "lookup.route", Description: "Table.Route, routes spread over hosts of three", SizeUnit: "routes", Logarithmic: true},
		100_000,
		func(n int) func(int) {
			t := configuration.NewRoutingTable().With(routed(n), nil) // it finds routes in the book
			return lookups(
				n,
				func(i int) [2]string { return [2]string{hostName(i), pathPrefix(i) + "2f"} },
				func(q [2]string) { t.Route(q[0], q[1]) },
			)
		},
		sizes...)
	m.measureTime(
		Series{Name: "lookup.tenant", Description: "Table.Tenant by key", SizeUnit: "tenants", Logarithmic: true},
		100_000,
		func(n int) func(int) {
			t := tabled(n)
			return lookups(n, tenantKey, func(key string) { t.Tenant(key) })
		},
		sizes...)
}

// memoize is a maker that makes each size memoize: several series measure upon the same thing, which is immutable.
func memoize[T any](build func(n int) T) func(n int) T {
	made := map[int]T{}
	return func(n int) T {
		if _, ok := made[n]; !ok {
			made[n] = build(n)
		}
		return made[n]
	}
}

// lookups is an operation that asks for one thing after the other, in an order that no cache knows. Making the
// questions is not counted.
func lookups[Q any](n int, question func(i int) Q, ask func(Q)) func(int) {
	questions := generate(min(n, 1<<16), func(i int) Q { return question(i * 7919 % n) })
	return func(i int) { ask(questions[i%len(questions)]) }
}

// measureSnapshots are what it costs to get all there is.
func measureSnapshots(m *meter) {
	sizes := []int{10000, 20000, 40000, 60000, 100000}
	m.measureTime(
		Series{
			Name:        "newcomer.source",
			Description: "Since and encoding of all items for a newcomer, in frames of 64 KB",
			SizeUnit:    "tenants",
		},
		1,
		func(n int) func(int) {
			s := replication.NewStore(1)
			s.MergeItems(tenants(n))
			return func(int) { encodeSnapshot(s, func([]byte) {}) }
		},
		sizes...)
	m.measureTime(
		Series{Name: "newcomer.take", Description: "decoding and merging of all items by the newcomer", SizeUnit: "tenants"},
		1,
		func(n int) func(int) {
			s := replication.NewStore(1)
			s.MergeItems(tenants(n))
			var all []byte
			encodeSnapshot(s, func(b []byte) { all = append(all, b...) })
			return func(int) {
				to := replication.NewStore(2)
				for r := bufio.NewReader(bytes.NewReader(all)); ; {
					f, err := transport.Read(r, transport.MaxFrame)
					if err != nil {
						return
					}
					to.MergeItems(f.Update.Items)
				}
			}
		},
		sizes...)
	m.measureTime(
		Series{Name: "patch.read", Description: "ReadPatch and Check of an operator's first call", SizeUnit: "tenants"},
		1,
		func(n int) func(int) {
			body := append([]byte(`{"upsert":`), append(snapshotOf(tenants(n)).RenderJSON(), `,"remove":{}}`...)...)
			return func(int) {
				items, _ := configuration.ReadPatch(body)
				(*configuration.Snapshot)(nil).Validate(items)
			}
		},
		sizes...)
	m.measureTime(Series{Name: "render", Description: "Render of a Book for GET /config", SizeUnit: "tenants"}, 1, func(n int) func(int) {
		b := snapshotOf(tenants(n))
		return func(int) { b.RenderJSON() }
	}, sizes...)
}

func encodeSnapshot(s *replication.Store, frame func([]byte)) {
	var b []byte
	for seq, snapshot := uint64(0), false; !snapshot; {
		changes := s.ChangesSince(seq, 64<<10)
		seq, snapshot = changes.Seq, changes.Complete
		f := &transport.Update{Incarnation: 1 << 60, Items: changes.Items, Instances: changes.Instances, Seq: seq}
		b, _ = transport.Append(b[:0], &transport.Frame{Update: f})
		frame(b)
	}
}

// news is a feed with so many items, lines or beats.
func updateFrame(n int, add func(f *transport.Update, i int)) *transport.Frame {
	f := &transport.Update{
		Incarnation: 1 << 60,
		Seq:         1 << 30,
		Complete:    true,
		Members:     3300,
		Clock:       86400.123456,
		Epoch:       1 << 20,
		Ready:       true,
		Quorum:      true,
	}
	for i := range n {
		add(f, i)
	}
	return &transport.Frame{Update: f}
}

// measureFrames are the frames, in bytes and in the time to write and to read them.
func measureFrames(m *meter) {
	for _, w := range []struct {
		name, what, of string
		frame          func(n int) []*transport.Frame
	}{
		{"tenant", "a feed with n tenants; a: a heartbeat", "tenants", func(n int) []*transport.Frame {
			return []*transport.Frame{updateFrame(n, func(f *transport.Update, i int) { f.Items = append(f.Items, tenant(i, 7)) })}
		}},
		{"route", "a feed with n routes", "routes", func(n int) []*transport.Frame {
			return []*transport.Frame{updateFrame(n,
				func(f *transport.Update, i int) { f.Items = append(f.Items, route(i, servicesOfRoutes, 7)) })}
		}},
		{"service", "a feed with n services", "services", func(n int) []*transport.Frame {
			return []*transport.Frame{updateFrame(n, func(f *transport.Update, i int) { f.Items = append(f.Items, service(i, 7)) })}
		}},
		{"line", "a feed with n lines", "servers", func(n int) []*transport.Frame {
			return []*transport.Frame{updateFrame(n,
				func(f *transport.Update, i int) { f.Instances = append(f.Instances, instance(i, 7)) })}
		}},
		{"heard", "a feed with n beats heard, between control nodes", "beats", func(n int) []*transport.Frame {
			return []*transport.Frame{updateFrame(n, func(f *transport.Update, i int) {
				f.Heartbeats = append(f.Heartbeats, transport.Heartbeat{ID: instance(i, 1).ID, Seq: 50_000})
			})}
		}},
		{"beat", "n heartbeats of a source", "heartbeats", func(n int) []*transport.Frame {
			return generate(n, func(int) *transport.Frame { return updateFrame(0, nil) })
		}},
		{"renew", "n renewals of a lease", "renewals", func(n int) []*transport.Frame {
			return generate(n, func(int) *transport.Frame {
				return &transport.Frame{Renewal: &transport.Renewal{Clock: 86400.123456, Ready: true}}
			})
		}},
		{"count", "n pairs of Add and Total", "calls", func(n int) []*transport.Frame {
			return generate(2*n, func(i int) *transport.Frame {
				if i%2 == 1 {
					return &transport.Frame{Call: uint64(1e6 + i),
						CounterTotal: &transport.CounterTotal{OK: true, Sum: 87.125, Reporters: 40}}
				}
				return &transport.Frame{Call: uint64(1e6 + i),
					CounterAdd: &transport.CounterAdd{Name: tenantName(i), Cycle: 86400, Reporter: reporterName(i%3300) + "#1z141z4",
						Amount: 1, Retention: 3, PerRequest: true, Serial: uint64(1e6 + i)}}
			})
		}},
	} {
		m.measureBytes(
			Series{Name: "wire." + w.name, Description: "bytes of " + w.what, SizeUnit: w.of},
			func(n int) int { return len(encodeFrames(w.frame(n))) },
			1,
			4,
			16,
			64,
			256,
		)
		m.measureTime(Series{Name: "write." + w.name, Description: "encoding " + w.what, SizeUnit: w.of}, 200, func(n int) func(int) {
			frames, b := w.frame(n), []byte(nil)
			return func(int) {
				b = b[:0]
				for _, f := range frames {
					b, _ = transport.Append(b, f)
				}
			}
		}, 10, 40, 80, 160, 300)
		m.measureTime(Series{Name: "read." + w.name, Description: "decoding " + w.what, SizeUnit: w.of}, 200, func(n int) func(int) {
			b := encodeFrames(w.frame(n))
			return func(int) {
				for r := bufio.NewReader(bytes.NewReader(b)); ; {
					if _, err := transport.Read(r, transport.MaxFrame); err != nil {
						return
					}
				}
			}
		}, 10, 40, 80, 160, 300)
	}
}

func encodeFrames(frames []*transport.Frame) (b []byte) {
	for _, f := range frames {
		b, _ = transport.Append(b, f)
	}
	return b
}

// measureHeartbeatsAndCounters are the control node's own work: beats, and adds to measureHeartbeatsAndCounters.
func measureHeartbeatsAndCounters(m *meter) {
	sizes := []int{10000, 20000, 50000, 100000, 200000} // as with changes
	m.measureTime(
		Series{
			Name:        "registry.beat",
			Description: "Beat of a Registry, the call that says the same again",
			SizeUnit:    "servers",
			Logarithmic: true,
		},
		20_000,
		func(n int) func(int) {
			r, ls := registryOf(n)
			return func(i int) {
				l := ls[i*7919%n]
				l.Seq = uint64(i) + 2
				r.RecordHeartbeat(1+float64(i)*1e-6, l)
			}
		},
		sizes...)
	m.measureTime(
		Series{Name: "registry.heard", Description: "Heard of a Registry, a beat that another node heard", SizeUnit: "servers", Logarithmic: true},
		20_000,
		func(n int) func(int) {
			r, ls := registryOf(n)
			return func(i int) { r.RecordRemoteHeartbeat(1+float64(i)*1e-6, ls[i*7919%n].ID, uint64(i)+2) }
		},
		sizes...)
	m.measureTime(
		Series{
			Name:        "tally.add",
			Description: "Add of a Keeper, a call that is a report of its own, and its answer",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		20_000,
		func(n int) func(int) {
			k, names := counterTable(n, 1, true), generate(n, tenantName)
			return func(i int) {
				k.Add(
					3,
					&quota.Report{
						Name:       names[i*7919%n],
						Cycle:      3,
						Reporter:   firstReporter,
						Amount:     1,
						PerRequest: true,
						Serial:     uint64(i) + 2,
						Retention:  3,
					},
				)
			}
		},
		8000,
		16000,
		32000,
		64000,
		120000,
	)
	m.measureTime(
		Series{
			Name:        "tally.total",
			Description: "first read of a cycle by a Keeper, which goes through all holders of the tenant",
			SizeUnit:    "holders",
		},
		50,
		func(n int) func(int) {
			k := counterTable(1, n, false)
			return func(i int) {
				k.Add(3, &quota.Report{Name: tenantName(0), Cycle: int64(3 + i), ReadOnly: true, Retention: 3})
			}
		},
		30,
		100,
		300,
		1000,
		3300,
	)
	m.measureTime(
		Series{
			Name:        "tally.owner",
			Description: "Owner of a name, by rendezvous over the living control nodes",
			SizeUnit:    "control nodes",
		},
		20_000,
		func(n int) func(int) {
			living := generate(n, func(i int) string { return fmt.Sprintf("10.0.%d.1:7560", i) })
			return func(i int) { quota.Owner("tenant-7", living) }
		},
		3,
		6,
		12,
		24,
		36,
	)
}

var firstReporter = reporterName(0)

func registryOf(n int) (*registry.Registry, []registry.Instance) {
	r, ls := registry.New(1.5), instances(n)
	for _, l := range ls {
		r.RecordHeartbeat(1, l)
	}
	return r, ls
}

// measureConsensus are the processor time of a change's agreement, without the network and with a disk in memory.
func measureConsensus(m *meter) {
	m.measureTime(
		Series{Name: "ballot.change", Description: "one change through a proposer and its voters in one process", SizeUnit: "voters"},
		500,
		func(n int) func(int) {
			voters := generate(n, func(i int) string { return fmt.Sprint("v", i) })
			acceptors := map[string]*consensus.Acceptor{}
			base, items := consensus.Base{Electorate: consensus.InitialElectorate(voters)}, tenants(1)
			for _, v := range voters {
				acceptors[v] = &consensus.Acceptor{Addr: v, Electorate: base.Electorate}
			}
			p := consensus.NewProposer(voters[0], 1)
			return func(int) { base = commitChange(p, voters, acceptors, base, items) }
		},
		3,
		5,
		7,
		9,
		13,
	)
	m.measureTime(
		Series{Name: "vault.save", Description: "a batch in a Vault on a disk in memory, one sync", SizeUnit: "items"},
		100,
		func(n int) func(int) {
			v, _, err := storage.Open(vfs.NewMem(), "data", log.NewNopLogger())
			if err != nil {
				if m.err == nil {
					m.err = err
				}
				return func(int) {}
			}
			return func(i int) {
				b := storage.Batch{
					Acceptor: &consensus.Acceptor{Epoch: uint64(i)},
					Items:    generate(n, func(j int) configuration.Item { return tenant(j, i+1) }),
				}
				_ = v.Save(context.Background(), b)
			}
		},
		1,
		4,
		16,
		64,
		256,
	)
}

// commitChange has one change commitChange upon a base, and returns that of the whole then.
func commitChange(
	p *consensus.Proposer,
	voters []string,
	acceptors map[string]*consensus.Acceptor,
	base consensus.Base,
	items []configuration.Item,
) consensus.Base {
	for a := p.Start(base, false); ; {
		next := consensus.Action{}
		switch a.Kind {
		case consensus.Prepare, consensus.Accept:
			for _, v := range voters {
				var came consensus.Action
				if a.Kind == consensus.Prepare {
					promise, _ := acceptors[v].Prepare(a.Ballot)
					came = p.Promised(a.Attempt, v, promise)
				} else {
					accepted, _ := acceptors[v].Accept(a.Proposal)
					came = p.Accepted(a.Attempt, v, accepted)
				}
				if came.Kind != consensus.None {
					next = came
				}
			}
		case consensus.Compose:
			next = p.Composed(a.Attempt, base, items, nil)
			items = nil // once is enough
		case consensus.Apply:
			base = base.With(a.Proposal)
			for _, v := range voters {
				acceptors[v].Learn(base)
			}
			next = p.Applied(a.Attempt, base)
		default:
			return base
		}
		a = next
	}
}

// measureCollector are what the collector costs by what lives.
func measureCollector(m *meter) {
	s := Series{Name: "gc.cycle", Description: "one collection of a heap of items", Unit: "s", SizeUnit: "bytes live"}
	var points []Point
	for _, n := range m.sizes(25000, 50000, 80000, 120000, 180000) {
		st := replication.NewStore(1)
		st.MergeItems(tenants(n))
		points = append(points, Point{Size: liveHeap(), Cost: measureInRounds([]*operation{{run: func(int) { runtime.GC() }, perRound: 1}})[0].Cost})
		runtime.KeepAlive(st)
	}
	m.addSeries(s, points)
}
