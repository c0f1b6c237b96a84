package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// receivedReport is a report as the model keeps it.
type receivedReport struct {
	at       float64
	cycle    int64
	reporter string
	amount   float64
	serial   uint64
}

// modelTotal sums a cycle from all reports that were received for a counter.
func modelTotal(
	reports []receivedReport, now float64, cycle int64, perRequest bool,
) (sum float64, reporters int) {
	type reportID struct {
		reporter string
		serial   uint64
	}
	last, inCycle, seen := map[string]receivedReport{}, map[string]float64{}, map[reportID]bool{}
	counted := map[string]bool{}
	for _, r := range reports {
		if perRequest {
			id := reportID{r.reporter, r.serial}
			if seen[id] {
				continue
			}
			seen[id] = true
		}
		if r.cycle == cycle {
			if perRequest {
				inCycle[r.reporter] += r.amount
			} else {
				inCycle[r.reporter] = r.amount
			}
			counted[r.reporter] = true
		}
		if l, ok := last[r.reporter]; !ok || r.cycle >= l.cycle {
			last[r.reporter] = r
		}
	}
	for reporter, l := range last {
		switch {
		case counted[reporter]:
			sum += inCycle[reporter]
		case perRequest || now >= l.at+LateReportRetention:
			continue
		default:
			sum += l.amount
		}
		reporters++
	}
	return sum, reporters
}

func TestCounterTableAgainstModel(t *testing.T) {
	for seed := range uint64(15) {
		for _, perRequest := range []bool{false, true} {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 2))
			table := NewCounterTable()
			table.SetMembers(0, []string{"me"}, "me", true)
			now, all, serial := 10.0, map[string][]receivedReport{}, map[string]uint64{}
			for range 800 {
				now += random.Float64() * 0.2
				name := fmt.Sprint("tenant-", random.IntN(2))
				// Most reports are in time, some are a cycle late, and some are repeated. Some reporters only read, or
				// are absent for a while.
				report := receivedReport{
					at:       now,
					cycle:    int64(now/2) - int64(random.IntN(10)/9),
					reporter: fmt.Sprint("h", random.IntN(8)),
					amount:   float64(random.IntN(50)),
				}
				if int(now/20)%3 == 1 {
					report.reporter = fmt.Sprint("h", random.IntN(3))
				}
				id := name + report.reporter
				if serial[id]++; random.IntN(5) == 0 && serial[id] > 1 {
					serial[id]-- // repeated, because the answer was lost
				}
				report.serial = serial[id]
				readOnly := random.IntN(2) == 0
				if !readOnly {
					all[name] = append(all[name], report)
				}
				got := table.Add(now, &Report{
					Name:       name,
					Cycle:      report.cycle,
					Reporter:   report.reporter,
					Amount:     report.amount,
					ReadOnly:   readOnly,
					PerRequest: perRequest,
					Serial:     report.serial,
					Retention:  100,
				})
				is.True(got.OK)
				wantSum, wantReporters := modelTotal(all[name], now, report.cycle, perRequest)
				if got.Sum != wantSum {
					t.Fatalf("seed %d, per request %t, at %v, %+v, read only %t: sum %v, want %v of %v",
						seed, perRequest, now, report, readOnly, got.Sum, wantSum, all[name])
				}
				is.Equal(got.Reporters, wantReporters)
			}
		}
	}
}

// TestNeverTwoOwners lets the nodes learn at different times which nodes are live, and each node decides for itself
// whether it has a quorum. As long as a partitioned node notices the partition before the fence of the other node has
// passed, two nodes never answer at the same time. TestHandoverFence checks that the node that answers has all reports.
func TestNeverTwoOwners(t *testing.T) {
	names := []string{"a:1", "b:1", "c:1"}
	for seed := range uint64(60) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		tables := map[string]*CounterTable{}
		for _, n := range names {
			tables[n] = NewCounterTable()
		}
		partitioned, noticesAt := "", map[string]float64{} // the partitioned node, and when each node notices
		answered, lastChange := 0, 0.0
		for now := 0.0; now < 60; now += 0.1 {
			if random.IntN(60) == 0 && now-lastChange > HandoverFence {
				partitioned, lastChange = "", now
				if random.IntN(2) == 0 {
					partitioned = names[random.IntN(3)]
				}
				for _, n := range names {
					noticesAt[n] = now + random.Float64()*(HandoverFence-0.2)
				}
			}
			for n, table := range tables {
				if now >= noticesAt[n] {
					var live []string
					for _, o := range names {
						if o == n || n != partitioned && o != partitioned {
							live = append(live, o)
						}
					}
					table.SetMembers(now, live, n, len(live) > 1)
				}
			}
			for i := range 4 {
				answers := 0
				for _, table := range tables {
					total := table.Add(now, &Report{
						Name:      fmt.Sprint("tenant-", i),
						Cycle:     int64(now),
						Reporter:  "h",
						Amount:    1,
						Retention: 10,
					})
					if total.OK {
						answers++
					}
				}
				is.True(answers <= 1)
				answered += answers
			}
		}
		is.True(answered > 600)
	}
}

// A new owner must confirm a total only after HandoverFence, and then with the reports that it received before. A node
// without a quorum must not answer.
func TestHandoverFence(t *testing.T) {
	is := is.New(t)
	name, both := "", []string{"a", "b"}
	for i := 0; Owner(name, both) != "a"; i++ {
		name = fmt.Sprint("tenant-", i)
	}
	table := NewCounterTable()
	table.SetMembers(0, both, "b", true)
	add := func(now float64, reporter string, amount float64) Total {
		return table.Add(now, &Report{Name: name, Cycle: int64(now), Reporter: reporter, Amount: amount, Retention: 10})
	}
	is.True(!add(5, "x", 7).OK) // a owns it
	table.SetMembers(6, []string{"b"}, "b", true)
	is.Equal(add(6.5, "x", 7), Total{Sum: 7, Reporters: 1}) // partial until confirmed, but the report of x is kept
	total := add(8, "y", 5)
	is.True(total.OK)
	is.Equal(total.Sum, 12.0)
	is.Equal(total.Reporters, 2)
	table.SetMembers(9, []string{"b"}, "b", false)
	is.True(!add(9, "x", 7).OK)
	table.SetMembers(10, []string{"b"}, "b", true)
	is.True(!add(11.9, "x", 7).OK)
	is.True(add(12, "x", 7).OK)
	table.Add(100, &Report{Name: "another", Cycle: 100, Reporter: "x", Amount: 1})
	is.Equal(table.Len(), 1) // the first one has expired
}
