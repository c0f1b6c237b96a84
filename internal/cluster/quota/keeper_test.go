package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// told is all that a holder ever told, for a plain sum.
type told struct {
	at     float64
	cycle  int64
	holder string
	amount float64
	serial uint64
}

// plain sums a cycle up from all that was ever told under a name.
func plain(all []told, now float64, cycle int64, one bool) (sum float64, holders int) {
	type one64 struct {
		holder string
		serial uint64
	}
	last, here, seen := map[string]told{}, map[string]float64{}, map[one64]bool{}
	counted := map[string]bool{}
	for _, t := range all {
		if one {
			if seen[one64{t.holder, t.serial}] {
				continue
			}
			seen[one64{t.holder, t.serial}] = true
		}
		if t.cycle == cycle {
			if one {
				here[t.holder] += t.amount
			} else {
				here[t.holder] = t.amount
			}
			counted[t.holder] = true
		}
		if l, ok := last[t.holder]; !ok || t.cycle >= l.cycle {
			last[t.holder] = t
		}
	}
	for holder, l := range last {
		switch {
		case counted[holder]:
			sum += here[holder]
		case one || now >= l.at+LateReportRetention:
			continue
		default:
			sum += l.amount
		}
		holders++
	}
	return sum, holders
}

func TestKeeperAgainstPlain(t *testing.T) {
	for seed := range uint64(15) {
		for _, one := range []bool{false, true} {
			is := is.New(t)
			odds := rand.New(rand.NewPCG(seed, 2))
			k := NewCounterTable()
			k.SetMembers(0, []string{"me"}, "me", true)
			now, all, serial := 10.0, map[string][]told{}, map[string]uint64{}
			for range 800 {
				now += odds.Float64() * 0.2
				name := fmt.Sprint("tenant-", odds.IntN(2))
				// Most tell in time, some a cycle late, some come again, some only ever read or fall away for a while.
				x := told{now, int64(now/2) - int64(odds.IntN(10)/9), fmt.Sprint("h", odds.IntN(8)), float64(odds.IntN(50)), 0}
				if int(now/20)%3 == 1 {
					x.holder = fmt.Sprint("h", odds.IntN(3))
				}
				id := name + x.holder
				if serial[id]++; odds.IntN(5) == 0 && serial[id] > 1 {
					serial[id]-- // an add whose answer was lost
				}
				x.serial = serial[id]
				read := odds.IntN(2) == 0
				if !read {
					all[name] = append(all[name], x)
				}
				got := k.Add(now, &Report{Name: name, Cycle: x.cycle, Reporter: x.holder, Amount: x.amount, ReadOnly: read, PerRequest: one, Serial: x.serial, Retention: 100})
				is.True(got.OK)
				wantSum, wantHolders := plain(all[name], now, x.cycle, one)
				if got.Sum != wantSum {
					t.Fatal(seed, one, now, x, read, got.Sum, wantSum, all[name])
				}
				is.Equal(got.Reporters, wantHolders)
			}
		}
	}
}

// Two keepers see who lives at different times, and each for itself whether it has a quorum. While one that is cut off notices so before
// the fence of the other has passed, there is never a moment at which both answer; and who answers knows what all holders told.
func TestNeverTwoKeepers(t *testing.T) {
	names := []string{"a:1", "b:1", "c:1"}
	for seed := range uint64(60) {
		is := is.New(t)
		odds := rand.New(rand.NewPCG(seed, 3))
		keepers := map[string]*CounterTable{}
		for _, n := range names {
			keepers[n] = NewCounterTable()
		}
		cut, sees := "", map[string]float64{} // who is cut off, and from when on each notices
		served, last := 0, 0.0
		for now := 0.0; now < 60; now += 0.1 {
			if odds.IntN(60) == 0 && now-last > HandoverFence {
				cut, last = "", now
				if odds.IntN(2) == 0 {
					cut = names[odds.IntN(3)]
				}
				for _, n := range names {
					sees[n] = now + odds.Float64()*(HandoverFence-0.2)
				}
			}
			for n, k := range keepers {
				if now >= sees[n] {
					var living []string
					for _, o := range names {
						if o == n || n != cut && o != cut {
							living = append(living, o)
						}
					}
					k.SetMembers(now, living, n, len(living) > 1)
				}
			}
			for i := range 4 {
				answers := 0
				for _, k := range keepers {
					if k.Add(now, &Report{Name: fmt.Sprint("tenant-", i), Cycle: int64(now), Reporter: "h", Amount: 1, Retention: 10}).OK {
						answers++
					}
				}
				is.True(answers <= 1)
				served += answers
			}
		}
		is.True(served > 600)
	}
}

func TestFence(t *testing.T) {
	is := is.New(t)
	name, both := "", []string{"a", "b"}
	for i := 0; Owner(name, both) != "a"; i++ {
		name = fmt.Sprint("tenant-", i)
	}
	k := NewCounterTable()
	k.SetMembers(0, both, "b", true)
	add := func(now float64, holder string, amount float64) (float64, int, bool) {
		got := k.Add(now, &Report{Name: name, Cycle: int64(now), Reporter: holder, Amount: amount, Retention: 10})
		return got.Sum, got.Reporters, got.OK
	}
	_, _, ok := add(5, "x", 7)
	is.True(!ok) // a keeps it
	k.SetMembers(6, []string{"b"}, "b", true)
	_, _, ok = add(6.5, "x", 7)
	is.True(!ok) // not yet sure, but what x told is known
	sum, holders, ok := add(8, "y", 5)
	is.True(ok)
	is.Equal(sum, 12.0)
	is.Equal(holders, 2)
	k.SetMembers(9, []string{"b"}, "b", false)
	_, _, ok = add(9, "x", 7)
	is.True(!ok)
	k.SetMembers(10, []string{"b"}, "b", true)
	_, _, ok = add(11.9, "x", 7)
	is.True(!ok)
	_, _, ok = add(12, "x", 7)
	is.True(ok)
	k.Add(100, &Report{Name: "another", Cycle: 100, Reporter: "x", Amount: 1})
	is.Equal(k.Len(), 1) // forgotten
}
