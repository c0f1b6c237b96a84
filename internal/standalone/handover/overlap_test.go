package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What a process takes, by what it reads of the others.
func TestTurn(t *testing.T) {
	const now = 100.0
	other := func(part float64, more ...func(*Record)) Record {
		r := Record{Process: 2, Born: 50, Beat: now - 0.1, Part: part}
		for _, f := range more {
			f(&r)
		}
		return r
	}
	leaving := func(r *Record) { r.Leaving = true }
	beat := func(at float64) func(*Record) { return func(r *Record) { r.Beat = at } }
	younger := func(r *Record) { r.Born = now - 0.2 }
	for _, tc := range []struct {
		name          string
		own           float64 // its part before
		leaves        bool
		others        []Record
		part          float64
		alone, joined bool
	}{
		{"alone", 0, false, nil, 1, true, false},
		{"beside one that has all", 0, false, []Record{other(1)}, 0, false, false},
		{"beside one that has made room", 0, false, []Record{other(0.5)}, 0.5, false, false},
		{"a younger one comes", 1, false, []Record{other(0, younger)}, 0.5, false, true},
		{"the other leaves", 0.5, false, []Record{other(0.5, leaving)}, 0.5, false, false},
		{"the other has left but for what is open", 0.5, false, []Record{other(0.2, leaving)}, 0.8, false, false},
		{"the other is silent", 0.5, false, []Record{other(0.5, beat(now-Lease-0.1))}, 1, true, false},
		{"a beat far ahead, of a clock that went back", 0.5, false, []Record{other(0.5, beat(now+60))}, 1, true, false},
		{"it leaves", 0.5, true, []Record{other(0.5)}, 0.2, false, false},
		{"it leaves and nobody is there", 1, true, nil, 1, true, false},
		{"rubbish", 0, false, []Record{other(-7)}, 0.5, false, false},
		{"its own record, read back", 1, false, []Record{{Process: 1, Beat: now, Part: 1}}, 1, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(1, 60)
			m.own.Part, m.own.Beat, m.seen = tc.own, now-0.2, true
			if tc.leaves {
				m.Leave()
			}
			v := m.Turn(now, tc.others)
			got := fmt.Sprintf("%.2f %v %v", v.Own.Part, v.Alone, len(v.Younger) > 0)
			if diff := cmp.Diff(fmt.Sprintf("%.2f %v %v", tc.part, tc.alone, tc.joined), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// parts runs some processes through events by chance (they come, leave, are killed, stopped and woken, and beat late) and
// returns the most that they were together, and the least that was there where one had served undisturbed for a while.
func parts(seed uint64) (most, least float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	type process struct {
		*Member
		stopped bool
	}
	var live []*process
	files := map[int64]Record{}
	now, next, calm := 1000.0, int64(1), 0.0
	least = 1
	for range 400 {
		now += rng.Float64() * 0.3
		calm += 0.3
		switch e := rng.IntN(40); {
		case len(live) == 0 || e == 0 && len(live) < 4:
			live, calm = append(live, &process{Member: New(next, now)}), 0
			next++
		case e == 1:
			live[rng.IntN(len(live))].Leave()
			calm = 0
		case e == 2:
			i := rng.IntN(len(live))
			live, calm = append(live[:i], live[i+1:]...), 0
		case e == 3:
			p := live[rng.IntN(len(live))]
			p.stopped, calm = !p.stopped, 0
		default:
			for _, p := range live {
				if p.stopped || rng.IntN(4) == 0 {
					continue // its beat is late
				}
				var others []Record
				for _, r := range files {
					others = append(others, r)
				}
				v := p.Turn(now, others)
				files[v.Own.Process] = v.Own
			}
		}
		sum, awake := 0.0, 0
		for _, p := range live {
			sum += p.Part(now) // also of one that has just woken: it may act before its first beat
			if !p.stopped {
				awake++
			}
		}
		if most = max(most, sum); calm > 20*Lease && awake > 0 {
			least = min(least, sum)
		}
	}
	return most, least
}

// Whatever happens to them, processes are never more than one ingress together.
func TestNeverMoreThanOne(t *testing.T) {
	for seed := range uint64(3000) {
		if most, least := parts(seed); most > 1+1e-9 || least < 0.19 {
			t.Fatalf("seed %d: %.2f of an ingress at the most, %.2f at the least after a calm while", seed, most, least)
		}
	}
}
