package replication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

// entriesByBucket returns the entries of a store by bucket and key. Of instances it keeps only the fields that
// registry.Instance.DiffersFrom compares.
func entriesByBucket(s *Store) (all [bucketCount]map[string]any) {
	changes := s.ChangesSince(0, 1<<30)
	put := func(b uint8, key string, x any) {
		if all[b] == nil {
			all[b] = map[string]any{}
		}
		all[b][key] = x
	}
	for _, item := range changes.Items {
		put(itemBucket(item.Key), fmt.Sprint(item.Key), item)
	}
	for _, instance := range changes.Instances {
		instance.Seq, instance.SlowStartUntil = 0, 0
		put(instanceBucket(instance.ID), instance.ID, instance)
	}
	return all
}

// TestDigests compares the digests of two stores. Exactly the buckets with the same entries must match. A subscriber to
// which the matching buckets are not sent must end with the same entries as a subscriber to which everything is sent.
func TestDigests(t *testing.T) {
	for seed := range uint64(60) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 8))
		source, subscriber, reference := NewStore(1), NewStore(2), NewStore(3)
		merge := func(items []configuration.Item, instances []registry.Instance, stores ...*Store) {
			for _, s := range stores {
				s.MergeItems(append([]configuration.Item(nil), items...))
				s.MergeInstances(instances)
			}
		}
		divergence := random.IntN(40) // changes made in only one of the stores, per thousand changes
		change := func(stores ...*Store) {
			n := random.IntN(900)
			if n < 300 {
				merge([]configuration.Item{item(n, uint64(1+random.IntN(5)))}, nil, stores...)
				return
			}
			instance := registry.Instance{
				ID:       fmt.Sprint("i", n),
				Service:  "s",
				Address:  fmt.Sprint("10.0.0.", random.IntN(2)),
				Zone:     "z",
				Capacity: 2,
				Seq:      uint64(random.IntN(5)),
				Phase:    registry.Phase(random.IntN(4)),
			}
			merge(nil, []registry.Instance{instance}, stores...)
		}
		for range 4000 {
			switch {
			case random.IntN(1000) >= divergence:
				change(source, subscriber, reference)
			case random.IntN(2) == 0:
				change(source)
			default:
				change(subscriber, reference)
			}
			if random.IntN(200) == 0 {
				removed := []string{fmt.Sprint("i", 300+random.IntN(600))}
				source.ForgetInstances(removed)
				subscriber.ForgetInstances(removed)
				reference.ForgetInstances(removed)
			}
		}
		digests := subscriber.Digests()
		is.Equal(len(digests), 8*bucketCount)
		matching := source.Match(digests)
		here, there := entriesByBucket(source), entriesByBucket(subscriber)
		left := 0
		for b := range bucketCount {
			equal := len(here[b]) == 0 && len(there[b]) == 0 || reflect.DeepEqual(here[b], there[b])
			is.Equal(matching.contains(uint8(b), matching.upTo), equal)
			if equal {
				left += len(here[b])
			}
		}
		is.True(!matching.contains(0, matching.upTo+1))
		// Entries that change after the comparison are sent in any case.
		for range random.IntN(50) {
			change(source)
		}
		sent := 0
		for changes := (Changes{}); !changes.Complete; {
			changes = source.ChangesSinceExcept(changes.Seq, 500, matching)
			sent += len(changes.Items) + len(changes.Instances)
			merge(changes.Items, changes.Instances, subscriber)
		}
		for changes := (Changes{}); !changes.Complete; {
			changes = source.ChangesSince(changes.Seq, 500)
			merge(changes.Items, changes.Instances, reference)
		}
		is.Equal(entriesByBucket(subscriber), entriesByBucket(reference))
		changes := source.ChangesSince(0, 1<<30)
		is.True(sent <= len(changes.Items)+len(changes.Instances)-left+50)
	}
	is := is.New(t)
	is.Equal(NewStore(1).Digests(), nil) // too small
	is.Equal(NewStore(1).Match([]byte{1}), nil)
}

// sourceSet is the three sources of an agent, with different latencies.
type sourceSet struct {
	all         [3]*fakeSource
	latency     [3]time.Duration
	silent      [3]bool         // the source accepts connections and sends nothing
	breaks      [3]bool         // the source's first connection ends after 20 ms
	instances   atomic.Int64    // number of instances received
	updates     [3]atomic.Int64 // number of updates received, by source
	store       *Store
	initialSync InitialSync
	client      [3]*Client
}

// slowConn is a connection on which each read takes 5 ms.
type slowConn struct{ net.Conn }

func (sc slowConn) Read(b []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return sc.Conn.Read(b)
}

func (ss *sourceSet) run(ctx context.Context, all *sync.WaitGroup) {
	for k := range ss.all {
		client := &Client{
			Node:         "n",
			Class:        ClassAgent,
			Incarnation:  77,
			Seed:         uint64(k),
			Store:        ss.store,
			Clock:        NewClock(func() float64 { return 0 }),
			RepairSource: true,
			InitialSync:  &ss.initialSync,
		}
		client.Dial = func(ctx context.Context) (net.Conn, error) {
			time.Sleep(ss.latency[k])
			if ss.silent[k] {
				here, there := net.Pipe()
				go transport.NewConn(there).Run(func(*transport.Frame) *transport.Frame { return nil })
				return here, nil
			}
			nc, err := ss.all[k].dial(ctx)
			if err != nil {
				return nil, err
			}
			if ss.breaks[k] {
				ss.breaks[k] = false
				time.AfterFunc(20*time.Millisecond, func() { nc.Close() })
			}
			return slowConn{nc}, nil
		}
		client.Consume = func(update *transport.Update) {
			ss.instances.Add(int64(len(update.Instances)))
			ss.updates[k].Add(1)
			client.merge(update)
		}
		ss.client[k] = client
		all.Go(func() { client.Run(ctx) })
	}
}

// TestInitialSync checks that a joining agent receives the snapshot once, from the nearest source, and from the other
// sources only the differences. The same must hold when a source begins a new incarnation later.
func TestInitialSync(t *testing.T) {
	const count = 2000
	for name, fault := range map[string]string{
		"calm":                   "",
		"the nearest is silent":  "silent",
		"the nearest breaks off": "break",
		"the nearest is down":    "down",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sourceSet{
					store:   NewStore(77),
					latency: [3]time.Duration{time.Millisecond, 3 * time.Millisecond, 4 * time.Millisecond},
				}
				var from [3]*Store
				fill := func(k int, incarnation uint64, lost int) {
					s.all[k].disconnect()
					from[k] = s.all[k].restart(incarnation)
					for n := range count {
						if n >= lost {
							from[k].MergeInstances([]registry.Instance{{
								ID:      fmt.Sprint("i", n),
								Service: "s",
								Seq:     uint64(1 + k),
								Address: "a",
							}})
						}
					}
				}
				for k := range s.all {
					s.all[k] = &fakeSource{}
					fill(k, uint64(1+k), 0)
				}
				from[1].MergeInstances([]registry.Instance{{
					ID:      "i5",
					Service: "s",
					Seq:     9,
					Address: "a",
					Phase:   registry.Draining,
				}})
				switch fault {
				case "silent":
					s.silent[0] = true
				case "break":
					s.breaks[0] = true
				case "down":
					s.all[0].source = nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				var all sync.WaitGroup
				s.run(ctx, &all)
				if fault == "silent" {
					time.Sleep(initialSyncIdle)
				}
				time.Sleep(200 * time.Millisecond)
				synctest.Wait()
				for k, client := range s.client {
					if k > 0 || fault == "" {
						is.True(client.State().Complete)
					}
				}
				instance, _ := s.store.Instance("i5")
				is.Equal(instance.Phase, registry.Draining)
				is.Equal(len(s.store.Instances()), count)
				if fault != "break" { // after a broken connection, the instances received before are sent again
					is.True(s.instances.Load() < count+200)
				}
				is.True(s.instances.Load() < 2*count)
				time.Sleep(2 * time.Second)

				// One source begins a new incarnation and has lost ten instances. It must send only the differences,
				// and exactly these ten instances must be restored.
				s.instances.Store(0)
				var restored atomic.Int64
				fill(2, 9, 10)
				s.all[2].mu.Lock()
				s.all[2].source.OnInstances = func(instances []registry.Instance) {
					restored.Add(int64(len(instances)))
					from[2].MergeInstances(instances)
				}
				s.all[2].mu.Unlock()
				time.Sleep(10 * time.Second)
				synctest.Wait()
				is.Equal(s.client[2].State().Incarnation, uint64(9))
				is.True(s.client[2].State().Complete)
				is.True(s.instances.Load() < 200)
				is.Equal(restored.Load(), int64(10))
				is.Equal(len(from[2].Instances()), count)
				cancel()
				all.Wait()
				for _, x := range s.all {
					x.disconnect()
				}
				synctest.Wait()
			})
		})
	}
}
