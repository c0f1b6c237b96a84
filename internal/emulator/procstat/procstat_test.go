package procstat

import (
	"errors"
	"io/fs"
	"math"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestParseCPU(t *testing.T) {
	for _, test := range []struct {
		name, stat string
		want       time.Duration
		err        error
	}{
		{name: "name with blanks", stat: "1 (a b) S 1 1 1 0 -1 4 5 6 7 8 120 30 0 0", want: 1500 * time.Millisecond},
		{name: "cut off", stat: "1 (a) S 1 1 1 0 -1 4 5 6 7 8 120", err: ErrIncomplete},
		{name: "empty", err: ErrIncomplete},
		{name: "no number", stat: "1 (a) S 1 1 1 0 -1 4 5 6 7 8 x 30", err: strconv.ErrSyntax},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := parseCPU(test.stat)
			if got != test.want || !errors.Is(err, test.err) {
				t.Errorf("got %v, %v, want %v, %v", got, err, test.want, test.err)
			}
		})
	}
}

func TestParsePeakMemory(t *testing.T) {
	for _, test := range []struct {
		name, status string
		want         int64
		err          error
	}{
		{name: "value", status: "Name:\ta\nVmHWM:\t    2048 kB\nVmRSS:\t 1 kB\n", want: 2 << 20},
		{name: "ended", status: "Name:\ta\nState:\tZ (zombie)\n", err: ErrIncomplete},
		{name: "no number", status: "VmHWM:\tx kB\n", err: strconv.ErrSyntax},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := parsePeakMemory(test.status)
			if got != test.want || !errors.Is(err, test.err) {
				t.Errorf("got %v, %v, want %v, %v", got, err, test.want, test.err)
			}
		})
	}
}

func TestOwnProcess(t *testing.T) {
	if _, err := CPU(os.Getpid()); err != nil {
		t.Errorf("processor time: got %v", err)
	}
	if peak, err := PeakMemory(os.Getpid()); peak < 1<<20 || err != nil {
		t.Errorf("peak memory: got %d, %v, want a megabyte at least", peak, err)
	}
}

func TestNoProcess(t *testing.T) {
	if _, err := CPU(math.MaxInt32); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("processor time: got %v, want %v", err, fs.ErrNotExist)
	}
	if _, err := PeakMemory(math.MaxInt32); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("peak memory: got %v, want %v", err, fs.ErrNotExist)
	}
}
