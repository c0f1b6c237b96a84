package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queue is a service that takes calls in turn, one in 80 ms, holds 30, and works also on those abandoned after
// 2 s.
type queue struct{ free time.Duration }

const (
	callTime, callTimeout, queueLength = 80 * time.Millisecond, 2 * time.Second, 30
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// call returns when the call is over, and whether it was answered.
func (q *queue) call(now time.Duration) (time.Duration, bool) {
	if q.free < now {
		q.free = now
	}
	if q.free-now > queueLength*callTime {
		return now + 3*time.Millisecond, false
	}
	q.free += callTime
	if q.free-now > callTimeout {
		return now + callTimeout, false
	}
	return q.free, true
}

// served simulates a fleet that calls until it is answered, all from the same moment on, and returns when half and
// all were.
func served(
	fleet int, seed uint64, wait func(ingress int, chance float64) time.Duration, until time.Duration,
) (half, all time.Duration, calls int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	due, q, done := make([]time.Duration, fleet), queue{}, 0
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
		over, ok := q.call(due[next])
		if !ok {
			due[next] = over + wait(next, rng.Float64())
			continue
		}
		due[next] = 1 << 62
		if done++; done == (fleet+1)/2 {
			half = over
		}
		all = max(all, over)
	}
	return half, all, calls
}

// A fleet that loses a shared service at one moment gets it back, whatever its size. With the short fixed
// wait there was before, it never does.
func TestFleetGetsServiceBack(t *testing.T) {
	for seed := range uint64(20) {
		for _, fleet := range []int{1, 3, 80, 300} {
			windows := make([]*Window, fleet)
			for i := range windows {
				windows[i] = New(fleet)
			}
			limit := 2*time.Duration(fleet)*callTime + 3*callTimeout
			half, all, calls := served(
				fleet, seed,
				func(i int, chance float64) time.Duration { return seconds(windows[i].Failed(chance)) },
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
		if _, all, calls := served(80, seed, fixed, time.Minute); all < time.Minute || calls < 5000 {
			t.Errorf("the service of this test bears any load: %v, %d calls", all, calls)
		}
	}
}

func TestWindow(t *testing.T) {
	w := New(80)
	var got []time.Duration
	for range 4 {
		got = append(got, seconds(w.Failed(0.5)))
	}
	w.Worked()
	got = append(got, seconds(w.Failed(0.5)))
	for i, want := range []time.Duration{4, 8, 16, 16, 4} {
		if got[i] != want*time.Second {
			t.Errorf("wait %d is %v, want %v s", i, got[i], want)
		}
	}
	if wait := New(1 << 40).Failed(0.999); wait > maxFirst {
		t.Errorf("with a number that cannot be true: %v", wait)
	}
	if wait := New(-1).Failed(0.999); wait <= 0 || wait > minWindow {
		t.Errorf("without a known number: %v", wait)
	}
}
