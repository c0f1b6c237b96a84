package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// modelRegistry is a model of a Registry. It applies the same rules, but iterates over all instances each time.
type modelRegistry struct {
	heartbeatInterval      Seconds
	instances              map[string]Instance
	lastSeenAt             map[string]Seconds
	hasQuorum              bool
	quorumSince, lastCheck Seconds
	checked                bool
	massTimeout            bool
	callsResumed           bool
	callsResumedAt         Seconds
}

func (m *modelRegistry) set(now Seconds, instance Instance) {
	m.instances[instance.ID], m.lastSeenAt[instance.ID] = instance, now
	if m.massTimeout && !m.callsResumed && (instance.Phase == Serving || instance.Phase == Draining) {
		m.callsResumed, m.callsResumedAt = true, now
	}
}

func (m *modelRegistry) merge(now Seconds, instance Instance) bool {
	old, known := m.instances[instance.ID]
	if known && !instance.Supersedes(old) {
		return false
	}
	m.set(now, instance)
	return !known || instance.DiffersFrom(old)
}

func (m *modelRegistry) recordHeartbeat(now Seconds, instance Instance) bool {
	changed := m.merge(now, instance)
	old := m.instances[instance.ID]
	if !changed && old.Seq == instance.Seq && old.Phase != Gone && old.Phase != Silent {
		m.set(now, old)
	}
	return changed
}

func (m *modelRegistry) detectSilent(now Seconds) (detected []string) {
	if m.checked && now-m.lastCheck > m.heartbeatInterval {
		m.quorumSince = max(m.quorumSince, now)
	}
	m.lastCheck, m.checked = now, true
	if !m.hasQuorum || now-m.quorumSince < TimeoutHeartbeats*m.heartbeatInterval {
		m.massTimeout = false
		return nil
	}
	serving := 0
	for id, instance := range m.instances {
		if instance.Phase == Serving {
			serving++
			if now-m.lastSeenAt[id] >= TimeoutHeartbeats*m.heartbeatInterval {
				detected = append(detected, id)
			}
		}
	}
	if !m.massTimeout && len(detected) >= MassTimeoutMinimum && 2*len(detected) > serving {
		m.massTimeout, m.callsResumed = true, false
	}
	if m.massTimeout {
		if !m.callsResumed || now-m.callsResumedAt < MassTimeoutRecheckHeartbeats*m.heartbeatInterval {
			return nil
		}
		m.massTimeout = false
	}
	for _, id := range detected {
		instance := m.instances[id]
		instance.Phase = Silent
		m.set(now, instance)
	}
	for id, instance := range m.instances {
		if instance.Phase == Draining && now-m.lastSeenAt[id] >= TimeoutHeartbeats*m.heartbeatInterval+DrainRetention {
			instance.Phase = Gone
			m.set(now, instance)
			detected = append(detected, id)
		}
	}
	return detected
}

func (m *modelRegistry) expire(now Seconds) (ids []string) {
	for id, instance := range m.instances {
		if instance.Phase == Gone && now-m.lastSeenAt[id] >= TombstoneRetention ||
			instance.Phase == Silent && now-m.lastSeenAt[id] >= SilentRetention {
			ids = append(ids, id)
			delete(m.instances, id)
		}
	}
	return ids
}

func TestRegistryAgainstModel(t *testing.T) {
	for seed := range uint64(60) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		r := New(1.5)
		model := &modelRegistry{
			heartbeatInterval: 1.5,
			instances:         map[string]Instance{},
			lastSeenAt:        map[string]Seconds{},
		}
		now, seqs, dead, partitioned := 0.0, map[string]uint64{}, map[string]bool{}, false
		r.SetQuorum(now, true)
		model.hasQuorum, model.quorumSince = true, now
		var cursor uint64
		received := map[string]uint64{}
		for range 3000 {
			step := random.Float64() * 0.3
			if random.IntN(400) == 0 {
				step = random.Float64() * 200 // the process was paused
			}
			now += step
			if random.IntN(150) == 0 {
				partitioned = !partitioned
			}
			id := fmt.Sprintf("i-%d", random.IntN(14))
			if random.IntN(60) == 0 {
				dead[id] = !dead[id]
			}
			if !partitioned && !dead[id] {
				if random.IntN(4) > 0 {
					seqs[id]++
				}
				instance := Instance{
					ID:       id,
					Service:  "a",
					Address:  "10.0.0.1:80",
					Capacity: 3,
					Seq:      seqs[id] - min(seqs[id], uint64(random.IntN(8)/7)),
				}
				if random.IntN(40) == 0 {
					instance.Phase = Draining
				}
				switch random.IntN(12) {
				case 0:
					instance.Phase = Phase(random.IntN(4))
					want := model.merge(now, instance)
					is.Equal(len(r.Merge(now, []Instance{instance})) == 1, want)
				case 1:
					old, known := model.instances[id]
					want := false
					if known && old.Phase != Gone && instance.Seq > old.Seq {
						next := old
						next.Seq = instance.Seq
						if next.Phase == Silent {
							next.Phase = Serving
						}
						model.set(now, next)
						want = next.DiffersFrom(old)
					}
					_, changed := r.RecordRemoteHeartbeat(now, id, instance.Seq)
					is.Equal(changed, want)
				default:
					want := model.recordHeartbeat(now, instance)
					merged, changed := r.RecordHeartbeat(now, instance)
					is.Equal(changed, want)
					is.Equal(merged, model.instances[id])
				}
			}
			if random.IntN(200) == 0 {
				old, known := model.instances[id]
				if !known {
					old = Instance{ID: id}
				}
				old.Phase = Gone
				want := model.merge(now, old)
				_, changed := r.RecordDeparture(now, id)
				is.Equal(changed, want)
			}
			if random.IntN(100) == 0 {
				quorum := random.IntN(3) > 0
				if quorum && !model.hasQuorum {
					model.quorumSince = now
				}
				model.hasQuorum = quorum
				r.SetQuorum(now, quorum)
			}
			var got []string
			for _, instance := range r.DetectSilent(now) {
				got = append(got, instance.ID)
			}
			want := model.detectSilent(now)
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
			got, want = r.Expire(now), model.expire(now)
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
			for _, id := range got {
				delete(received, id)
			}
			is.Equal(r.Len(), len(model.instances))
			var heartbeats []Heartbeat
			heartbeats, cursor = r.HeartbeatsSince(cursor, 1+random.IntN(4))
			for _, h := range heartbeats {
				is.True(h.Seq >= received[h.ID])
				received[h.ID] = h.Seq
			}
		}
		for id, want := range model.instances {
			got, ok := r.Get(id)
			is.True(ok)
			is.Equal(got, want)
		}
	}
}

// A heartbeat that arrives after the departure of its server must not restore the instance while the tombstone is kept.
func TestLateHeartbeatAfterDeparture(t *testing.T) {
	is := is.New(t)
	r := New(1.5)
	r.RecordHeartbeat(1, Instance{ID: "i", Service: "a", Seq: 4})
	removed, changed := r.RecordDeparture(2, "i")
	is.True(changed)
	is.Equal(removed.Phase, Gone)
	late, changed := r.RecordHeartbeat(3, Instance{ID: "i", Service: "a", Seq: 9})
	is.True(!changed)
	is.Equal(late.Phase, Gone)
	is.Equal(r.Expire(100), nil)
	is.Equal(r.Expire(123), []string{"i"})

	_, changed = r.RecordDeparture(130, "unknown") // its first call has not arrived yet
	is.True(changed)
	late, _ = r.RecordHeartbeat(131, Instance{ID: "unknown", Seq: 1})
	is.Equal(late.Phase, Gone)
}

// call records heartbeats of the given servers from one time to another. It returns which instances are detected in
// that time, and when.
func call(r *Registry, from, to Seconds, seq uint64, ids ...string) (detected []string) {
	for now := from; now < to; now += 0.25 {
		for _, id := range ids {
			r.RecordHeartbeat(now, Instance{ID: id, Seq: seq + uint64(now/1.5)})
		}
		for _, instance := range r.DetectSilent(now) {
			detected = append(detected, fmt.Sprintf("%s@%.2f", instance.ID, now))
		}
	}
	return detected
}

func TestDetectSilent(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d", "e", "f"}
	newRegistry := func() *Registry {
		r := New(1.5)
		r.SetQuorum(0, true)
		is.Equal(call(r, 0, 20, 1, all...), nil)
		return r
	}
	is.Equal(call(newRegistry(), 20, 40, 100, all[1:]...), []string{"a@25.00"}) // its last call was at 19.75
	// A mass timeout is treated as a partition until any server calls. Then only those that do not call become silent.
	r := newRegistry()
	is.Equal(call(r, 20, 200, 100), nil)
	is.Equal(call(r, 200, 220, 1000, all[:2]...), []string{"c@203.00", "d@203.00", "e@203.00", "f@203.00"})
	// A node that was paused or had no quorum detects no silent instances until a whole timeout later.
	r = newRegistry()
	is.Equal(call(r, 80, 90, 1000, all[1:]...), []string{"a@85.25"})
	r = newRegistry()
	r.SetQuorum(20, false)
	is.Equal(call(r, 20, 60, 1000, all[1:]...), nil)
	r.SetQuorum(60, true)
	is.Equal(call(r, 60, 80, 2000, all[1:]...), []string{"a@65.25"})
	instance, changed := r.RecordRemoteHeartbeat(80, "a", 5000)
	is.True(changed)
	is.Equal(instance.Phase, Serving)
	is.True(!Instance{ID: strings.Repeat("x", 600)}.Valid())
}
