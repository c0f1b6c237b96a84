package majority

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// compareLeaseWithModel applies the same random events to a lease and to a reference model. In the model, the lease is
// held at an instant if a majority has answered requests that were sent within the TTL before that instant, and a term
// ends at any instant at which the lease is not held. It returns the first difference, or "" if there is none.
func compareLeaseWithModel(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	nodes := []string{"a", "b", "c", "d", "e"}
	voters := nodes[:1+random.IntN(5)]
	now := time.Duration(0)
	lease := NewLease("a", func() time.Duration { return now }, func() []string { return voters })
	answered := map[string]time.Duration{}
	expected := func() bool {
		count := 0
		for _, voter := range voters {
			if at, ok := answered[voter]; voter == "a" || ok && now-at <= TTL {
				count++
			}
		}
		return 2*count > len(voters)
	}
	term, held := uint64(0), false
	evaluate := func() {
		if now := expected(); now != held {
			if held = now; held {
				term++
			}
		}
	}
	type request struct {
		to     string
		sentAt time.Duration
	}
	var pending []request
	for range 400 {
		switch random.IntN(5) {
		case 0, 1:
			pending = append(pending, request{nodes[1+random.IntN(4)], now})
		case 2, 3:
			if len(pending) > 0 {
				i := random.IntN(len(pending))
				r := pending[i]
				pending = slices.Delete(pending, i, i+1)
				evaluate()
				lease.RecordAnswer(r.to, r.sentAt)
				answered[r.to] = max(answered[r.to], r.sentAt)
			}
		case 4:
			for left := random.IntN(100); left >= 0; left-- { // long steps simulate a suspended process
				now += 10 * time.Millisecond
				evaluate()
				if random.IntN(20) == 0 {
					pending = append(pending, request{nodes[1+random.IntN(4)], now})
				}
			}
		}
		evaluate()
		if gotTerm, got := lease.Current(); got != held || got && gotTerm != term {
			return fmt.Sprintf("at %v: got held %v in term %d, want %v in %d", now, got, gotTerm, held, term)
		}
		if reachable, _, _ := lease.Reachable(); held && 2*len(reachable) <= len(voters) {
			return fmt.Sprintf("at %v: held with %v of %v", now, reachable, voters)
		}
	}
	return ""
}

// Guards against a lease that outlasts its answers, for example because an answer is timed from its arrival, or because
// an expiry during a suspension goes unnoticed and the term does not change.
func TestLeaseMatchesReferenceModel(t *testing.T) {
	for seed := range uint64(300) {
		if difference := compareLeaseWithModel(seed); difference != "" {
			t.Fatalf("seed %d: %s", seed, difference)
		}
	}
}
