package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestHeartbeat checks the outcome of a single heartbeat for several sets of the other processes' records.
func TestHeartbeat(t *testing.T) {
	const now = 100.0
	other := func(share float64, with ...func(*Record)) Record {
		r := Record{Process: 2, StartedAt: 50, HeartbeatAt: now - 0.1, Share: share}
		for _, set := range with {
			set(&r)
		}
		return r
	}
	leaving := func(r *Record) { r.Leaving = true }
	heartbeatAt := func(at float64) func(*Record) { return func(r *Record) { r.HeartbeatAt = at } }
	newer := func(r *Record) { r.StartedAt = now - 0.2 }
	type outcome struct {
		Share    string
		Alone    bool
		HasNewer bool
	}
	for _, tc := range []struct {
		name   string
		share  float64 // before the heartbeat
		leaves bool
		others []Record
		want   outcome
	}{
		{"alone", 0, false, nil, outcome{"1.00", true, false}},
		{"another one has all", 0, false, []Record{other(1)}, outcome{"0.00", false, false}},
		{"another one has shrunk", 0, false, []Record{other(0.5)}, outcome{"0.50", false, false}},
		{"a newer one starts", 1, false, []Record{other(0, newer)}, outcome{"0.50", false, true}},
		{"the other leaves", 0.5, false, []Record{other(0.5, leaving)}, outcome{"0.50", false, false}},
		{
			"the other has left but for open connections", 0.5, false,
			[]Record{other(0.2, leaving)}, outcome{"0.80", false, false},
		},
		{
			"the other's lease has expired", 0.5, false,
			[]Record{other(0.5, heartbeatAt(now-LeaseDuration-0.1))}, outcome{"1.00", true, false},
		},
		{
			"a heartbeat far in the future", 0.5, false,
			[]Record{other(0.5, heartbeatAt(now+60))}, outcome{"1.00", true, false},
		},
		{"it leaves", 0.5, true, []Record{other(0.5)}, outcome{"0.20", false, false}},
		{"it leaves alone", 1, true, nil, outcome{"1.00", true, false}},
		{"a share out of range", 0, false, []Record{other(-7)}, outcome{"0.50", false, false}},
		{
			"its own record, read back", 1, false,
			[]Record{{Process: 1, HeartbeatAt: now, Share: 1}}, outcome{"1.00", true, false},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(1, 60)
			m.own.Share = tc.share
			m.own.HeartbeatAt = now - 0.2
			m.initialized = true
			if tc.leaves {
				m.Leave()
			}
			v := m.Heartbeat(now, tc.others)
			got := outcome{fmt.Sprintf("%.2f", v.Own.Share), v.Alone, len(v.Newer) > 0}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

const (
	randomRuns     = 3000 // seeds, one random run each
	runEvents      = 400  // events in a random run
	maxProcesses   = 4    // maximum number of processes at a time in a random run
	shareTolerance = 1e-9 // for the rounding errors of a sum of shares
	minShare       = 0.19 // least sum of the shares after a while without changes; slightly below leavingShare
)

// process is a process of a random run.
type process struct {
	*Member
	suspended bool
}

// randomRun applies random events to some processes: they start, leave, are killed, suspended and resumed, and their
// heartbeats are late. It returns the greatest sum of their shares, and the least sum after a while without changes.
func randomRun(seed uint64) (maxSum, minSum float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var live []*process
	records := map[int64]Record{}
	now, next, unchangedFor := 1000.0, int64(1), 0.0
	minSum = 1
	for range runEvents {
		now += rng.Float64() * 0.3
		unchangedFor += 0.3
		switch event := rng.IntN(40); {
		case len(live) == 0 || event == 0 && len(live) < maxProcesses:
			live = append(live, &process{Member: New(next, now)})
			next++
			unchangedFor = 0
		case event == 1:
			live[rng.IntN(len(live))].Leave()
			unchangedFor = 0
		case event == 2:
			i := rng.IntN(len(live))
			live = append(live[:i], live[i+1:]...)
			unchangedFor = 0
		case event == 3:
			p := live[rng.IntN(len(live))]
			p.suspended = !p.suspended
			unchangedFor = 0
		default:
			for _, p := range live {
				if late := p.suspended || rng.IntN(4) == 0; !late {
					p.exchange(now, records)
				}
			}
		}
		sum, running := 0.0, 0
		for _, p := range live {
			sum += p.Share(now) // also of a suspended process: it may act before its next heartbeat when it resumes
			if !p.suspended {
				running++
			}
		}
		maxSum = max(maxSum, sum)
		if unchangedFor > 20*LeaseDuration && running > 0 {
			minSum = min(minSum, sum)
		}
	}
	return maxSum, minSum
}

// exchange reads the records and writes the process's own record.
func (p *process) exchange(now float64, records map[int64]Record) {
	var others []Record
	for _, r := range records {
		others = append(others, r)
	}
	v := p.Heartbeat(now, others)
	records[v.Own.Process] = v.Own
}

// TestSharesNeverExceedOne checks that the shares of all processes never add up to more than 1 in random runs. It also
// checks that they add up to minShare or more after a while without changes, so that shares are taken over.
func TestSharesNeverExceedOne(t *testing.T) {
	for seed := range uint64(randomRuns) {
		if maxSum, minSum := randomRun(seed); maxSum > 1+shareTolerance || minSum < minShare {
			t.Fatalf("seed %d: got sums of shares from %.2f to %.2f, want %.2f to 1", seed, minSum, maxSum, minShare)
		}
	}
}
