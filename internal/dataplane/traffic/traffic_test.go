package traffic

import (
	"math"
	"testing"
)

func TestCounter(t *testing.T) {
	var c Counter
	c.Connected()
	c.Read(100)
	c.Read(0)
	c.Read(-1)
	c.Wrote(20)
	const wantIn, wantOut = ConnectionOverheadBytes + 100 + TransferOverheadBytes,
		ConnectionOverheadBytes + 20 + TransferOverheadBytes
	if in, out := c.Totals(); in != wantIn || out != wantOut {
		t.Errorf("totals %d in and %d out, want %d and %d", in, out, wantIn, wantOut)
	}
}

func TestNilCounterCountsNothing(t *testing.T) {
	var c *Counter
	c.Connected()
	c.Read(1)
	c.Wrote(1)
	if in, out := c.Totals(); in != 0 || out != 0 {
		t.Errorf("totals %d in and %d out, want none", in, out)
	}
}

func TestLoad(t *testing.T) {
	const capacity = 1000
	afterHalfASecond := 1 - math.Exp(-1)
	for _, tc := range []struct {
		name     string
		capacity float64
		in, out  int64 // totals after half a second
		want     float64
	}{
		{"idle", capacity, 0, 0, 0},
		{"full in one direction", capacity, 500, 0, afterHalfASecond},
		{"the busier direction counts", capacity, 250, 500, afterHalfASecond},
		{"half", capacity, 250, 0, afterHalfASecond / 2},
		{"unknown capacity", 0, 500, 500, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLoad(tc.capacity)
			if got := l.Update(10, 0, 0); got != 0 {
				t.Errorf("first load %v, want 0", got)
			}
			if got := l.Update(10.5, tc.in, tc.out); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("load %v after half a second, want %v", got, tc.want)
			}
			if got := l.Update(10.5, tc.in, tc.out); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("load %v at the same time, want %v", got, tc.want)
			}
		})
	}
}
