package faultnet

import "time"

// Fault is what a link does to what is sent over it in one direction. The zero value does nothing.
type Fault struct {
	// Loss is the share of the datagrams that is lost, from 0 to 1. A stream loses nothing: this share of its chunks
	// arrives late, as by a retransmission.
	Loss float64
	// Delay delays all datagrams and chunks.
	Delay time.Duration
	// Jitter is the upper limit of a further delay, which is uniformly distributed.
	Jitter time.Duration
	// Duplicate is the share of the datagrams that arrives twice, from 0 to 1.
	Duplicate float64
	// Reorder is the share of the datagrams and chunks that is delayed so long that others overtake it, from 0 to 1.
	Reorder float64
	// Cut stops all: datagrams are lost, streams stay open and carry nothing.
	Cut bool
	// MaxSize is the size of the longest datagram that is not lost, in bytes, as on a path with a small MTU; 0: no
	// limit.
	MaxSize int
}

// Validate returns a ShareError or ErrNegative if a field is out of its range.
func (f Fault) Validate() error {
	for name, share := range map[string]float64{"loss": f.Loss, "double": f.Duplicate, "reorder": f.Reorder} {
		if !(share >= 0 && share <= 1) { // nor NaN
			return ShareError{name}
		}
	}
	if f.Delay < 0 || f.Jitter < 0 || f.MaxSize < 0 {
		return ErrNegative
	}
	return nil
}

// losesAll reports whether a datagram of this size is lost in any case.
func (f Fault) losesAll(size int) bool {
	return f.Cut || f.MaxSize > 0 && size > f.MaxSize
}
