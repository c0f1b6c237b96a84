package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// limitedFleet simulates a customer's requests through the gateways of a split. It records the units that
// were forwarded and the lowest level of a reference bucket for the complete limit. A level below minus the
// slack means that the limit was exceeded.
type limitedFleet struct {
	split                  Split
	tokens, refilledAt     []float64
	counter                map[string]float64
	reference, referenceAt float64
	lowest                 float64
	sent                   float64
}

func newLimitedFleet(s Split) *limitedFleet {
	n := int(s.Gateways)
	return &limitedFleet{
		split:      s,
		tokens:     make([]float64, n),
		refilledAt: make([]float64, n),
		counter:    map[string]float64{},
		reference:  s.Burst,
	}
}

// admit simulates a request that arrives at a gateway. If it needs the shared part, it is sent after a delay.
func (f *limitedFleet) admit(now float64, gateway int, units, delay float64) {
	f.tokens[gateway] = f.split.OwnTokens(f.tokens[gateway], now-f.refilledAt[gateway], 1)
	f.refilledAt[gateway] = now
	if f.tokens[gateway] >= units {
		f.tokens[gateway] -= units
		f.send(now, units)
		return
	}
	name, available, _, ok := f.split.SharedSpan(now)
	if !ok {
		return
	}
	if f.counter[name] += units; f.counter[name] > available {
		return
	}
	f.send(now+delay, units)
}

// send takes units from the reference bucket. Calls may be out of order by less than the delay. The bucket
// uses the later of the times, which can only lower its level.
func (f *limitedFleet) send(now, units float64) {
	f.reference = min(f.split.Burst, f.reference+f.split.Rate*max(0, now-f.referenceAt)) - units
	f.referenceAt = max(f.referenceAt, now)
	f.lowest, f.sent = min(f.lowest, f.reference), f.sent+units
}

// The rate limit holds for any distribution of the requests over the gateways and after the counter has
// restarted empty, and most of it can be used.
func TestLimitHoldsOverAllGateways(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		rate := 30 + 40*rng.Float64()
		burst := rate * (1.1 + 1.4*rng.Float64())
		s := Split{
			Rate: rate, Burst: burst, Slack: max(4, 0.1*burst), Gateways: math.Floor(burst / 8),
			Counter: true,
		}
		f, gateway := newLimitedFleet(s), 0
		for now := 0.0; now < 30; now += 0.2 * rng.Float64() * rng.Float64() / rate * 10 {
			if rng.IntN(200) == 0 {
				gateway = rng.IntN(int(s.Gateways)) // another gateway becomes the busy one
			}
			if now > 10 && now < 10+maxSpan+1 {
				clear(f.counter) // the counter is lost, and no call gets a reply meanwhile
				s.Counter = false
			} else {
				s.Counter = true
			}
			at := gateway
			if rng.IntN(3) == 0 || seed%3 == 0 {
				at = rng.IntN(int(s.Gateways))
			}
			if !s.Counter {
				f.tokens[at], f.refilledAt[at] = f.split.OwnTokens(f.tokens[at], now-f.refilledAt[at], 1), now
				if f.tokens[at] < 4 {
					continue
				}
			}
			f.admit(now, at, float64(1+rng.IntN(4)), rng.Float64()*GrantValidity)
		}
		if f.lowest < -s.Slack {
			t.Errorf("seed %d: the bucket fell to %.1f, slack %.1f", seed, f.lowest, s.Slack)
		}
		// The counter is lost for 3 of the 30 s.
		if f.sent < 0.7*rate*27 {
			t.Errorf("seed %d: %.0f of %.0f units forwarded", seed, f.sent, rate*30)
		}
	}
}

// A customer is within its quota, but nearly half of its requests come through one of eight ingresses. With
// evenly divided parts alone, a fifth of them are rejected.
func TestBusyGatewayGetsWhatOthersLeave(t *testing.T) {
	refused := map[bool]float64{}
	for _, counter := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(1, 1))
		f := newLimitedFleet(Split{Rate: 40, Burst: 60, Slack: 6, Gateways: 8, Counter: counter})
		asked := 0.0
		for now := 5.0; now < 65; now += rng.ExpFloat64() / 9 { // 22.5 units per second
			gateway := rng.IntN(8)
			if rng.IntN(5) < 2 {
				gateway = 0
			}
			units := float64(1 + rng.IntN(4))
			asked += units
			f.admit(now, gateway, units, 0.01)
		}
		refused[counter] = 1 - f.sent/asked
	}
	if refused[true] > 0.12 || refused[false] < 0.2 {
		t.Errorf(
			"rejected within the quota: %.3f with a shared part, %.3f without", refused[true], refused[false],
		)
	}
}

// Without a counter, with a single gateway, or with a burst too small for the delays, there is no shared
// part, and each gateway has its complete even share.
func TestNoSharedPart(t *testing.T) {
	for _, s := range []Split{
		{Rate: 40, Burst: 60, Slack: 6, Gateways: 8},
		{Rate: 40, Burst: 60, Slack: 6, Gateways: 1, Counter: true},
		{Rate: 40, Burst: 40 * GrantValidity, Slack: 6, Gateways: 8, Counter: true},
	} {
		if name, available, _, ok := s.SharedSpan(100); ok {
			t.Errorf("%+v: shared span %s of %v units, want none", s, name, available)
		}
		if got := fmt.Sprint(s.OwnTokens(0, 1e6, 1)); got != fmt.Sprint((s.Burst+s.Slack)/s.Gateways) {
			t.Errorf("%+v: own part %s", s, got)
		}
	}
}
