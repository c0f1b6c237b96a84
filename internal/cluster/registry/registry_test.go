package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// plain judges as Registry does, but goes through everything each time.
type plain struct {
	beat           Seconds
	lines          map[string]Instance
	at             map[string]Seconds
	hasQuorum      bool
	since, looked  Seconds
	checked        bool
	mass, calls    bool
	callsResumedAt Seconds
}

func (p *plain) set(now Seconds, l Instance) {
	p.lines[l.ID], p.at[l.ID] = l, now
	if p.mass && !p.calls && (l.Phase == Serving || l.Phase == Draining) {
		p.calls, p.callsResumedAt = true, now
	}
}

func (p *plain) say(now Seconds, l Instance) bool {
	old, known := p.lines[l.ID]
	if known && !l.Supersedes(old) {
		return false
	}
	p.set(now, l)
	return !known || l.DiffersFrom(old)
}

func (p *plain) beats(now Seconds, l Instance) bool {
	news := p.say(now, l)
	if old := p.lines[l.ID]; !news && old.Seq == l.Seq && old.Phase != Gone && old.Phase != Silent {
		p.set(now, old)
	}
	return news
}

func (p *plain) due(now Seconds) (due []string) {
	if p.checked && now-p.looked > p.beat {
		p.since = max(p.since, now)
	}
	p.looked, p.checked = now, true
	if !p.hasQuorum || now-p.since < TimeoutHeartbeats*p.beat {
		p.mass = false
		return nil
	}
	serving := 0
	for id, l := range p.lines {
		if l.Phase == Serving {
			serving++
			if now-p.at[id] >= TimeoutHeartbeats*p.beat {
				due = append(due, id)
			}
		}
	}
	if !p.mass && len(due) >= MassTimeoutMinimum && 2*len(due) > serving {
		p.mass, p.calls = true, false
	}
	if p.mass {
		if !p.calls || now-p.callsResumedAt < MassTimeoutRecheckHeartbeats*p.beat {
			return nil
		}
		p.mass = false
	}
	for _, id := range due {
		l := p.lines[id]
		l.Phase = Silent
		p.set(now, l)
	}
	for id, l := range p.lines {
		if l.Phase == Draining && now-p.at[id] >= TimeoutHeartbeats*p.beat+DrainRetention {
			l.Phase = Gone
			p.set(now, l)
			due = append(due, id)
		}
	}
	return due
}

func (p *plain) over(now Seconds) (ids []string) {
	for id, l := range p.lines {
		if l.Phase == Gone && now-p.at[id] >= TombstoneRetention || l.Phase == Silent && now-p.at[id] >= SilentRetention {
			ids = append(ids, id)
			delete(p.lines, id)
		}
	}
	return ids
}

func TestRegistryAgainstPlain(t *testing.T) {
	for seed := range uint64(60) {
		is := is.New(t)
		odds := rand.New(rand.NewPCG(seed, 1))
		r := New(1.5)
		p := &plain{beat: 1.5, lines: map[string]Instance{}, at: map[string]Seconds{}}
		now, seqs, dead, cut := 0.0, map[string]uint64{}, map[string]bool{}, false
		r.SetQuorum(now, true)
		p.hasQuorum, p.since = true, now
		var cursor uint64
		heard := map[string]uint64{}
		for range 3000 {
			step := odds.Float64() * 0.3
			if odds.IntN(400) == 0 {
				step = odds.Float64() * 200 // it stood still
			}
			now += step
			if odds.IntN(150) == 0 {
				cut = !cut
			}
			id := fmt.Sprintf("i-%d", odds.IntN(14))
			if odds.IntN(60) == 0 {
				dead[id] = !dead[id]
			}
			if !cut && !dead[id] {
				if odds.IntN(4) > 0 {
					seqs[id]++
				}
				l := Instance{ID: id, Service: "a", Address: "10.0.0.1:80", Capacity: 3, Seq: seqs[id] - min(seqs[id], uint64(odds.IntN(8)/7))}
				if odds.IntN(40) == 0 {
					l.Phase = Draining
				}
				switch odds.IntN(12) {
				case 0:
					l.Phase = Phase(odds.IntN(4))
					want := p.say(now, l)
					is.Equal(len(r.Merge(now, []Instance{l})) == 1, want)
				case 1:
					old, known := p.lines[id]
					want := false
					if known && old.Phase != Gone && l.Seq > old.Seq {
						next := old
						next.Seq = l.Seq
						if next.Phase == Silent {
							next.Phase = Serving
						}
						p.set(now, next)
						want = next.DiffersFrom(old)
					}
					_, news := r.RecordRemoteHeartbeat(now, id, l.Seq)
					is.Equal(news, want)
				default:
					want := p.beats(now, l)
					merged, news := r.RecordHeartbeat(now, l)
					is.Equal(news, want)
					is.Equal(merged, p.lines[id])
				}
			}
			if odds.IntN(200) == 0 {
				old, known := p.lines[id]
				if !known {
					old = Instance{ID: id}
				}
				old.Phase = Gone
				want := p.say(now, old)
				_, news := r.RecordDeparture(now, id)
				is.Equal(news, want)
			}
			if odds.IntN(100) == 0 {
				q := odds.IntN(3) > 0
				if q && !p.hasQuorum {
					p.since = now
				}
				p.hasQuorum = q
				r.SetQuorum(now, q)
			}
			var got []string
			for _, l := range r.DetectSilent(now) {
				got = append(got, l.ID)
			}
			want := p.due(now)
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
			got, want = r.Expire(now), p.over(now)
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
			for _, id := range got {
				delete(heard, id)
			}
			is.Equal(r.Len(), len(p.lines))
			var hs []Heartbeat
			hs, cursor = r.HeartbeatsSince(cursor, 1+odds.IntN(4))
			for _, h := range hs {
				is.True(h.Seq >= heard[h.ID])
				heard[h.ID] = h.Seq
			}
		}
		for id, want := range p.lines {
			got, ok := r.Get(id)
			is.True(ok)
			is.Equal(got, want)
		}
	}
}

func TestLateCallAfterLeaving(t *testing.T) {
	is := is.New(t)
	r := New(1.5)
	r.RecordHeartbeat(1, Instance{ID: "i", Service: "a", Seq: 4})
	gone, news := r.RecordDeparture(2, "i")
	is.True(news)
	is.Equal(gone.Phase, Gone)
	late, news := r.RecordHeartbeat(3, Instance{ID: "i", Service: "a", Seq: 9})
	is.True(!news)
	is.Equal(late.Phase, Gone)
	is.Equal(r.Expire(100), nil)
	is.Equal(r.Expire(123), []string{"i"})

	_, news = r.RecordDeparture(130, "unheard") // its first call is still on the way
	is.True(news)
	late, _ = r.RecordHeartbeat(131, Instance{ID: "unheard", Seq: 1})
	is.Equal(late.Phase, Gone)
}

// call has all of these call once a heartbeat, from one time to another, and gathers who is judged meanwhile.
func call(r *Registry, from, to Seconds, seq uint64, ids ...string) (judged []string) {
	for now := from; now < to; now += 0.25 {
		for _, id := range ids {
			r.RecordHeartbeat(now, Instance{ID: id, Seq: seq + uint64(now/1.5)})
		}
		for _, l := range r.DetectSilent(now) {
			judged = append(judged, fmt.Sprintf("%s@%.2f", l.ID, now))
		}
	}
	return judged
}

func TestSilence(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d", "e", "f"}
	fresh := func() *Registry {
		r := New(1.5)
		r.SetQuorum(0, true)
		is.Equal(call(r, 0, 20, 1, all...), nil)
		return r
	}
	is.Equal(call(fresh(), 20, 40, 100, all[1:]...), []string{"a@25.00"}) // heard last at 19.75
	// A mass silence is a cut until others call, and then only who stays away is silent.
	r := fresh()
	is.Equal(call(r, 20, 200, 100), nil)
	is.Equal(call(r, 200, 220, 1000, all[:2]...), []string{"c@203.00", "d@203.00", "e@203.00", "f@203.00"})
	// One that stood still, or hears less than a quorum, judges nobody until it has listened for as long as its patience.
	r = fresh()
	is.Equal(call(r, 80, 90, 1000, all[1:]...), []string{"a@85.25"})
	r = fresh()
	r.SetQuorum(20, false)
	is.Equal(call(r, 20, 60, 1000, all[1:]...), nil)
	r.SetQuorum(60, true)
	is.Equal(call(r, 60, 80, 2000, all[1:]...), []string{"a@65.25"})
	l, news := r.RecordRemoteHeartbeat(80, "a", 5000)
	is.True(news)
	is.Equal(l.Phase, Serving)
	is.True(!Instance{ID: strings.Repeat("x", 600)}.Valid())
}
