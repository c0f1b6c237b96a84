package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queuedService simulates a service that handles one call at a time, each in 80 ms, and queues up to 30. It also spends
// time on calls that their callers have abandoned after 2 s.
type queuedService struct{ busyUntil time.Duration }

const (
	callTime, callTimeout, queueLength = 80 * time.Millisecond, 2 * time.Second, 30
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// call returns when the call ends, and whether it is answered.
func (q *queuedService) call(now time.Duration) (time.Duration, bool) {
	if q.busyUntil < now {
		q.busyUntil = now
	}
	if q.busyUntil-now > queueLength*callTime {
		return now + 3*time.Millisecond, false // the queue is full, so the call is rejected without being handled
	}
	q.busyUntil += callTime
	if q.busyUntil-now > callTimeout {
		return now + callTimeout, false
	}
	return q.busyUntil, true
}

// simulateFleet simulates a fleet of ingresses that all start at the same moment and call until they are answered. It
// returns when half of them and when all of them are answered, and the number of calls.
func simulateFleet(
	fleet int, seed uint64, wait func(ingress int, random float64) time.Duration, until time.Duration,
) (half, all time.Duration, calls int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	due, q, done := make([]time.Duration, fleet), queuedService{}, 0
	for i := range due {
		due[i] = wait(i, rng.Float64())
	}
	for done < fleet {
		next := 0
		for i := range due {
			if due[i] < due[next] {
				next = i
			}
		}
		if due[next] > until {
			return half, until, calls
		}
		calls++
		end, ok := q.call(due[next])
		if !ok {
			due[next] = end + wait(next, rng.Float64())
			continue
		}
		due[next] = 1 << 62
		if done++; done == (fleet+1)/2 {
			half = end
		}
		all = max(all, end)
	}
	return half, all, calls
}

// If all ingresses of a fleet lose a shared service at the same moment, half of them are answered again within a
// bounded time, whatever the size of the fleet. With a fixed wait of 200 ms, which ingresses used before, a large fleet
// never recovers.
func TestFleetGetsServiceBack(t *testing.T) {
	for seed := range uint64(20) {
		for _, fleet := range []int{1, 3, 80, 300} {
			windows := make([]*Window, fleet)
			for i := range windows {
				windows[i] = New(fleet)
			}
			limit := 2*time.Duration(fleet)*callTime + 3*callTimeout
			half, all, calls := simulateFleet(
				fleet, seed,
				func(i int, random float64) time.Duration { return seconds(windows[i].Failed(random)) },
				time.Hour,
			)
			if half > limit || calls > 2*fleet+2 {
				t.Errorf(
					"%d ingresses, seed %d: half after %v, all after %v, %d calls", fleet, seed, half, all,
					calls,
				)
			}
		}
		fixed := func(int, float64) time.Duration { return 200 * time.Millisecond }
		if _, all, calls := simulateFleet(80, seed, fixed, time.Minute); all < time.Minute || calls < 5000 {
			t.Errorf("fixed wait: all answered after %v with %d calls, want the service overloaded", all, calls)
		}
	}
}

// The window doubles with each failure up to four times its initial length, and a success resets it. A fleet size that
// is too large, negative or not known gives a window within the limits.
func TestWindow(t *testing.T) {
	w := New(80)
	var got []time.Duration
	for range 4 {
		got = append(got, seconds(w.Failed(0.5)))
	}
	w.Succeeded()
	got = append(got, seconds(w.Failed(0.5)))
	for i, want := range []time.Duration{4, 8, 16, 16, 4} {
		if got[i] != want*time.Second {
			t.Errorf("wait %d is %v, want %v s", i, got[i], want)
		}
	}
	if wait := New(1 << 40).Failed(0.999); wait > maxInitialWindow {
		t.Errorf("fleet size that is impossibly large: wait of %v s", wait)
	}
	if wait := New(-1).Failed(0.999); wait <= 0 || wait > minWindow {
		t.Errorf("fleet size that is not known: wait of %v s", wait)
	}
}
