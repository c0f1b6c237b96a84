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

// namedBy is how many services routes are spread over where the number of routes is what grows.
const namedBy = 1000

// kinds are the kinds of items that there are many of, with what makes so many of them.
var kinds = []struct {
	name  string
	base  func() *configuration.Snapshot // needed beside them
	items func(n int) []configuration.Item
}{
	{
		"route",
		func() *configuration.Snapshot { return merged(services(namedBy)) },
		func(n int) []configuration.Item { return routes(n, namedBy) },
	},
	{"tenant", func() *configuration.Snapshot { return nil }, tenants},
	{"service", func() *configuration.Snapshot { return nil }, services},
}

// memories are the live heaps of what a process knows.
func memories(m *meter) {
	for _, k := range kinds {
		sizes := []int{2000, 8000, 24000, 60000, 150000}
		m.memory(Series{Name: "book." + k.name, What: "live heap of a Book by its " + k.name + "s", Of: k.name + "s"},
			func(int) any { return k.base() },
			func(base any, n int) any { b, _ := base.(*configuration.Snapshot).Merge(k.items(n)); return b }, sizes...)
		if k.name != "route" { // a table finds routes in the book itself
			m.memory(Series{Name: "table." + k.name, What: "live heap of a Table beside its Book", Of: k.name + "s"},
				func(n int) any { return merged(k.items(n)) },
				func(base any, n int) any {
					b := base.(*configuration.Snapshot)
					return configuration.NewRoutingTable().With(b, slices.Collect(b.All()))
				}, sizes...)
		}
		m.memory(Series{Name: "store." + k.name, What: "live heap of a feed.Store, its Book with it", Of: k.name + "s"}, nil,
			func(_ any, n int) any {
				s := replication.NewStore(1)
				s.MergeItems(k.items(n))
				return s
			}, sizes...)
	}
	m.memory(
		Series{Name: "store.tombstone", What: "live heap of a feed.Store by dropped tenants", Of: "dropped items"},
		nil,
		func(_ any, n int) any {
			s := replication.NewStore(1)
			s.MergeItems(many(n, func(i int) configuration.Item {
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
	m.memory(Series{Name: "store.line", What: "live heap of a feed.Store by its lines", Of: "servers"}, nil,
		func(_ any, n int) any {
			s := replication.NewStore(1)
			s.MergeInstances(servers(n))
			return s
		}, 2000, 8000, 24000, 60000, 200000)
	m.memory(
		Series{Name: "registry.line", What: "live heap of a lines.Registry, beside the strings of its lines", Of: "servers"},
		func(n int) any { return servers(n) },
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
	m.memory(
		Series{
			Name: "tally.name",
			What: "live heap of a tally.Keeper, one holder a tenant, each call a report of its own",
			Of:   "tenants",
		},
		nil,
		func(_ any, n int) any { return kept(n, 1, true) },
		1000,
		4000,
		16000,
		50000,
		100000,
	)
	m.memory(
		Series{
			Name: "tally.holder",
			What: "live heap of a tally.Keeper by the holders of one tenant, reports by cycle",
			Of:   "holders",
		},
		nil,
		func(_ any, n int) any { return kept(10, n/10, false) },
		1000,
		3000,
		10000,
		20000,
		33000,
	)
	m.memory(Series{Name: "tally.holder.each", What: "the same, each call a report of its own", Of: "holders"}, nil,
		func(_ any, n int) any { return kept(10, n/10, true) }, 1000, 3000, 10000, 20000, 33000)
}

// kept is a keeper that is sure of its names, with so many holders of each.
func kept(names, holders int, one bool) *quota.CounterTable {
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

// changes are the processor time of one change, and of one look-up.
func changes(m *meter) {
	// smaller ones lie in the processor's caches, and are of another line
	sizes := []int{10000, 20000, 40000, 80000, 200000}
	routed, known := once(func(n int) *configuration.Snapshot { return merged(services(namedBy), routes(n, namedBy)) }),
		once(func(n int) *configuration.Snapshot { return merged(tenants(n)) })
	tabled := once(func(n int) *configuration.RoutingTable {
		return configuration.NewRoutingTable().With(known(n), slices.Collect(known(n).All()))
	})
	const ops = 400
	// Each change is made beforehand, and is of another item far from the one before.
	next := func(n int, one func(i, version int) configuration.Item) [][]configuration.Item {
		return many(repeats*ops+1, func(i int) []configuration.Item { return []configuration.Item{one(i*7919%n, i+2)} })
	}
	m.cpu(
		Series{Name: "change.check", What: "Check of one route's change", Of: "routes", Log: true},
		ops,
		func(n int) func(int) {
			b, frame := routed(n), next(n, func(i, version int) configuration.Item { return route(i, namedBy, version) })
			return func(i int) { b.Validate(frame[i]) }
		},
		sizes...)
	m.cpu(
		Series{Name: "change.merge", What: "Merge of one tenant's change", Of: "tenants", Log: true},
		ops,
		func(n int) func(int) {
			b, frame := known(n), next(n, tenant)
			return func(i int) { b, _ = b.Merge(frame[i]) }
		},
		sizes...)
	m.cpu(
		Series{Name: "change.with", What: "With of a Table for one tenant's change", Of: "tenants", Log: true},
		ops,
		func(n int) func(int) {
			b, t, frame := known(n), tabled(n), next(n, tenant)
			return func(i int) { t = t.With(b, frame[i]) }
		},
		sizes...)
	m.cpu(
		Series{
			Name: "change.store",
			What: "MergeItems of a Store for one tenant's change, and Since for a subscriber",
			Of:   "tenants",
			Log:  true,
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
	m.cpu(
		Series{
			Name: "change.line",
			What: "MergeLines of a Store for one line's change, and Since for a subscriber",
			Of:   "servers",
			Log:  true,
		},
		ops,
		func(n int) func(int) {
			s := replication.NewStore(1)
			s.MergeInstances(servers(n))
			frame := many(repeats*ops+1, func(i int) []registry.Instance {
				l := server(i*7919%n, uint64(i)+2)
				l.Phase = registry.Draining
				return []registry.Instance{l}
			})
			return func(i int) {
				s.MergeInstances(frame[i])
				s.ChangesSince(s.Seq()-1, 64<<10)
			}
		},
		sizes...)
	m.cpu(
		Series{Name: "lookup.route", What: "Table.Route, routes spread over hosts of three", Of: "routes", Log: true},
		100_000,
		func(n int) func(int) {
			t := configuration.NewRoutingTable().With(routed(n), nil) // it finds routes in the book
			return asked(
				n,
				func(i int) [2]string { return [2]string{host(i), prefix(i) + "2f"} },
				func(q [2]string) { t.Route(q[0], q[1]) },
			)
		},
		sizes...)
	m.cpu(
		Series{Name: "lookup.tenant", What: "Table.Tenant by key", Of: "tenants", Log: true},
		100_000,
		func(n int) func(int) {
			t := tabled(n)
			return asked(n, tenantKey, func(key string) { t.Tenant(key) })
		},
		sizes...)
}

// once is a maker that makes each size once: several series measure upon the same thing, which is immutable.
func once[T any](build func(n int) T) func(n int) T {
	made := map[int]T{}
	return func(n int) T {
		if _, ok := made[n]; !ok {
			made[n] = build(n)
		}
		return made[n]
	}
}

// asked is an operation that asks for one thing after the other, in an order that no cache knows. Making the
// questions is not counted.
func asked[Q any](n int, question func(i int) Q, ask func(Q)) func(int) {
	questions := many(min(n, 1<<16), func(i int) Q { return question(i * 7919 % n) })
	return func(i int) { ask(questions[i%len(questions)]) }
}

// newcomers are what it costs to get all there is.
func newcomers(m *meter) {
	sizes := []int{10000, 20000, 40000, 60000, 100000}
	m.cpu(
		Series{
			Name: "newcomer.source",
			What: "Since and encoding of all items for a newcomer, in frames of 64 KB",
			Of:   "tenants",
		},
		1,
		func(n int) func(int) {
			s := replication.NewStore(1)
			s.MergeItems(tenants(n))
			return func(int) { snapshot(s, func([]byte) {}) }
		},
		sizes...)
	m.cpu(
		Series{Name: "newcomer.take", What: "decoding and merging of all items by the newcomer", Of: "tenants"},
		1,
		func(n int) func(int) {
			s := replication.NewStore(1)
			s.MergeItems(tenants(n))
			var all []byte
			snapshot(s, func(b []byte) { all = append(all, b...) })
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
	m.cpu(
		Series{Name: "patch.read", What: "ReadPatch and Check of an operator's first call", Of: "tenants"},
		1,
		func(n int) func(int) {
			body := append([]byte(`{"upsert":`), append(merged(tenants(n)).RenderJSON(), `,"remove":{}}`...)...)
			return func(int) {
				items, _ := configuration.ReadPatch(body)
				(*configuration.Snapshot)(nil).Validate(items)
			}
		},
		sizes...)
	m.cpu(Series{Name: "render", What: "Render of a Book for GET /config", Of: "tenants"}, 1, func(n int) func(int) {
		b := merged(tenants(n))
		return func(int) { b.RenderJSON() }
	}, sizes...)
}

func snapshot(s *replication.Store, frame func([]byte)) {
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
func update(n int, add func(f *transport.Update, i int)) *transport.Frame {
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

// words are the frames, in bytes and in the time to write and to read them.
func words(m *meter) {
	for _, w := range []struct {
		name, what, of string
		frame          func(n int) []*transport.Frame
	}{
		{"tenant", "a feed with n tenants; a: a heartbeat", "tenants", func(n int) []*transport.Frame {
			return []*transport.Frame{update(n, func(f *transport.Update, i int) { f.Items = append(f.Items, tenant(i, 7)) })}
		}},
		{"route", "a feed with n routes", "routes", func(n int) []*transport.Frame {
			return []*transport.Frame{update(n,
				func(f *transport.Update, i int) { f.Items = append(f.Items, route(i, namedBy, 7)) })}
		}},
		{"service", "a feed with n services", "services", func(n int) []*transport.Frame {
			return []*transport.Frame{update(n, func(f *transport.Update, i int) { f.Items = append(f.Items, service(i, 7)) })}
		}},
		{"line", "a feed with n lines", "servers", func(n int) []*transport.Frame {
			return []*transport.Frame{update(n,
				func(f *transport.Update, i int) { f.Instances = append(f.Instances, server(i, 7)) })}
		}},
		{"heard", "a feed with n beats heard, between control nodes", "beats", func(n int) []*transport.Frame {
			return []*transport.Frame{update(n, func(f *transport.Update, i int) {
				f.Heartbeats = append(f.Heartbeats, transport.Heartbeat{ID: server(i, 1).ID, Seq: 50_000})
			})}
		}},
		{"beat", "n heartbeats of a source", "heartbeats", func(n int) []*transport.Frame {
			return many(n, func(int) *transport.Frame { return update(0, nil) })
		}},
		{"renew", "n renewals of a lease", "renewals", func(n int) []*transport.Frame {
			return many(n, func(int) *transport.Frame {
				return &transport.Frame{Renewal: &transport.Renewal{Clock: 86400.123456, Ready: true}}
			})
		}},
		{"count", "n pairs of Add and Total", "calls", func(n int) []*transport.Frame {
			return many(2*n, func(i int) *transport.Frame {
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
		m.bytes(
			Series{Name: "wire." + w.name, What: "bytes of " + w.what, Of: w.of},
			func(n int) int { return len(encoded(w.frame(n))) },
			1,
			4,
			16,
			64,
			256,
		)
		m.cpu(Series{Name: "write." + w.name, What: "encoding " + w.what, Of: w.of}, 200, func(n int) func(int) {
			frames, b := w.frame(n), []byte(nil)
			return func(int) {
				b = b[:0]
				for _, f := range frames {
					b, _ = transport.Append(b, f)
				}
			}
		}, 10, 40, 80, 160, 300)
		m.cpu(Series{Name: "read." + w.name, What: "decoding " + w.what, Of: w.of}, 200, func(n int) func(int) {
			b := encoded(w.frame(n))
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

func encoded(frames []*transport.Frame) (b []byte) {
	for _, f := range frames {
		b, _ = transport.Append(b, f)
	}
	return b
}

// counters are the control node's own work: beats, and adds to counters.
func counters(m *meter) {
	sizes := []int{10000, 20000, 50000, 100000, 200000} // as with changes
	m.cpu(
		Series{
			Name: "registry.beat",
			What: "Beat of a Registry, the call that says the same again",
			Of:   "servers",
			Log:  true,
		},
		20_000,
		func(n int) func(int) {
			r, ls := known(n)
			return func(i int) {
				l := ls[i*7919%n]
				l.Seq = uint64(i) + 2
				r.RecordHeartbeat(1+float64(i)*1e-6, l)
			}
		},
		sizes...)
	m.cpu(
		Series{Name: "registry.heard", What: "Heard of a Registry, a beat that another node heard", Of: "servers", Log: true},
		20_000,
		func(n int) func(int) {
			r, ls := known(n)
			return func(i int) { r.RecordRemoteHeartbeat(1+float64(i)*1e-6, ls[i*7919%n].ID, uint64(i)+2) }
		},
		sizes...)
	m.cpu(
		Series{
			Name: "tally.add",
			What: "Add of a Keeper, a call that is a report of its own, and its answer",
			Of:   "tenants",
			Log:  true,
		},
		20_000,
		func(n int) func(int) {
			k, names := kept(n, 1, true), many(n, tenantName)
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
	m.cpu(
		Series{
			Name: "tally.total",
			What: "first read of a cycle by a Keeper, which goes through all holders of the tenant",
			Of:   "holders",
		},
		50,
		func(n int) func(int) {
			k := kept(1, n, false)
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
	m.cpu(
		Series{
			Name: "tally.owner",
			What: "Owner of a name, by rendezvous over the living control nodes",
			Of:   "control nodes",
		},
		20_000,
		func(n int) func(int) {
			living := many(n, func(i int) string { return fmt.Sprintf("10.0.%d.1:7560", i) })
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

func known(n int) (*registry.Registry, []registry.Instance) {
	r, ls := registry.New(1.5), servers(n)
	for _, l := range ls {
		r.RecordHeartbeat(1, l)
	}
	return r, ls
}

// choices are the processor time of a change's agreement, without the network and with a disk in memory.
func choices(m *meter) {
	m.cpu(
		Series{Name: "ballot.change", What: "one change through a proposer and its voters in one process", Of: "voters"},
		500,
		func(n int) func(int) {
			voters := many(n, func(i int) string { return fmt.Sprint("v", i) })
			acceptors := map[string]*consensus.Acceptor{}
			base, items := consensus.Base{Electorate: consensus.InitialElectorate(voters)}, tenants(1)
			for _, v := range voters {
				acceptors[v] = &consensus.Acceptor{Addr: v, Electorate: base.Electorate}
			}
			p := consensus.NewProposer(voters[0], 1)
			return func(int) { base = chosen(p, voters, acceptors, base, items) }
		},
		3,
		5,
		7,
		9,
		13,
	)
	m.cpu(
		Series{Name: "vault.save", What: "a batch in a Vault on a disk in memory, one sync", Of: "items"},
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
					Items:    many(n, func(j int) configuration.Item { return tenant(j, i+1) }),
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

// chosen has one change chosen upon a base, and returns that of the whole then.
func chosen(
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

// collections are what the collector costs by what lives.
func collections(m *meter) {
	s := Series{Name: "gc.cycle", What: "one collection of a heap of items", Unit: "s", Of: "bytes live"}
	var points []Point
	for _, n := range m.sizes(25000, 50000, 80000, 120000, 180000) {
		st := replication.NewStore(1)
		st.MergeItems(tenants(n))
		points = append(points, Point{N: live(), Y: rounds([]*task{{do: func(int) { runtime.GC() }, ops: 1}})[0].Y})
		runtime.KeepAlive(st)
	}
	m.add(s, points)
}
