package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// putKeptByFrozenNode sends a put to a node that is frozen, repeats it at another node, and replaces its value there.
// It returns the answer to a read after the node has woken and has read the put that it kept.
func putKeptByFrozenNode(t *testing.T, freeze time.Duration, acceptAfterPause bool) (answer string) {
	synctest.Test(t, func(t *testing.T) {
		a := newApplications(t, 1)
		a.acceptAfterPause = acceptAfterPause
		defer a.stopAll()
		advance(3 * time.Second)
		frozen, other := a.seeds[0], a.seeds[1]
		a.mu.Lock()
		a.pausing[frozen] = time.Now().Add(freeze)
		a.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a.sendTo(ctx, frozen, "PUT", "/cells/g.a", `{"payload":"v1"}`)
		for revision, value := range []string{"v1", "v2"} {
			status, text := 0, ""
			for attempt := 0; attempt < 100 && status != 200; attempt++ { // the lease may have to be taken over
				status, text = a.call(other, "PUT", "/cells/g.a", fmt.Sprintf(`{"payload":%q}`, value))
				advance(50 * time.Millisecond)
			}
			if want := fmt.Sprintf(`{"revision":%d}`, revision+1); text != want {
				t.Errorf("put of %s: got %d %s, want %s", value, status, text, want)
			}
		}
		advance(freeze + 5*time.Second)
		_, answer = a.call(other, "GET", "/cells/g.a", "")
	})
	return answer
}

// valueBeforeLatePut is the answer to a read that a put, which is carried out late and for the second time, must not
// change.
const valueBeforeLatePut = `{"payload":"v2","revision":2}`

// Guards against a put that a frozen node kept and that is carried out again, under a second revision, after it was
// repeated at another node and its value was replaced. These clusters set no historyS, so puts are remembered for 10
// seconds.
func TestPutKeptByFrozenNode(t *testing.T) {
	for _, freeze := range []time.Duration{200, 1600, 5000, 8000} {
		freeze *= time.Millisecond
		for _, acceptAfterPause := range []bool{false, true} {
			if got := putKeptByFrozenNode(t, freeze, acceptAfterPause); got != valueBeforeLatePut {
				t.Errorf("after a freeze of %v: got %s, want %s", freeze, got, valueBeforeLatePut)
			}
		}
	}
}

// The same after a freeze that is longer than the time for which puts are remembered.
func TestPutKeptByNodeFrozenForLong(t *testing.T) {
	for _, acceptAfterPause := range []bool{false, true} {
		if got := putKeptByFrozenNode(t, 45*time.Second, acceptAfterPause); got != valueBeforeLatePut {
			t.Errorf("got %s, want %s", got, valueBeforeLatePut)
		}
	}
}
