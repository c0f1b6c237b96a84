package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Only a 2xx that names the batch acknowledges it. If another reply did, the usage in the batch would never be billed.
func TestInterpretStatus(t *testing.T) {
	for _, tc := range []struct {
		status int
		echoed bool
		want   Reply
	}{
		{200, true, Acknowledged},
		{201, true, Acknowledged},
		{200, false, Retry},
		{0, false, Retry},
		{500, false, Retry},
		{500, true, Retry},
		{429, false, Retry},
		{409, false, Conflict},
		{409, true, Conflict},
		{400, false, Invalid},
		{413, false, Invalid},
		{404, false, Retry},
	} {
		t.Run(fmt.Sprintf("%d echoed %v", tc.status, tc.echoed), func(t *testing.T) {
			if got := InterpretStatus(tc.status, tc.echoed); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// The delay doubles with each failure up to maxRetryDelay, and is randomized to between half of its value and all of
// it. It is not shorter than the advice, unless the advice exceeds maxRetryDelay. A batch that needs an operator is
// sent again as rarely as after many failures.
func TestRetryDelay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct {
		name     string
		failures int
		reply    Reply
		advice   float64
		min, max float64
	}{
		{"first", 1, Retry, 0, 0.5, 1},
		{"fourth", 4, Retry, 0, 4, 8},
		{"advice", 1, Retry, 30, 30, 30},
		{"advice beyond the maximum", 1, Retry, 1e9, 300, 300},
		{"many", 90, Retry, 0, 150, 300},
		{"conflict", 1, Conflict, 0, 150, 300},
		{"invalid", 1, Invalid, 0, 150, 300},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range 100 {
				got := RetryDelay(tc.failures, tc.reply, tc.advice, rng)
				if got < tc.min || got > tc.max {
					t.Errorf("got %v s, want %v to %v s", got, tc.min, tc.max)
				}
			}
		})
	}
}
