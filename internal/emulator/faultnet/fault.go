package faultnet

import "time"

// Fault describes how a link impairs the traffic in its direction. The zero value means that the link has no fault.
type Fault struct {
	// Loss is the share of datagrams that are lost, from 0 to 1. Streams lose no data; instead, this share of their
	// chunks arrives late, as after a retransmission.
	Loss float64
	// Delay is the delay of every datagram and chunk.
	Delay time.Duration
	// Jitter is the upper limit of an additional random delay, which is uniformly distributed.
	Jitter time.Duration
	// Duplicate is the share of datagrams that arrive twice, from 0 to 1.
	Duplicate float64
	// Reorder is the share of datagrams and chunks, from 0 to 1, that are delayed by an additional 30 ms. Later
	// datagrams overtake a delayed one; the chunks of a stream stay in order.
	Reorder float64
	// Cut stops all traffic: datagrams are lost, and streams stay open but transfer no data.
	Cut bool
	// MaxSize is the maximum size of a datagram in bytes; longer ones are lost, as on a path with a small MTU. 0 means
	// no limit.
	MaxSize int
}

// Validate returns a ShareError or ErrNegative if a field is out of its range.
func (f Fault) Validate() error {
	for name, share := range map[string]float64{"loss": f.Loss, "double": f.Duplicate, "reorder": f.Reorder} {
		if !(share >= 0 && share <= 1) { // also rejects NaN
			return ShareError{name}
		}
	}
	if f.Delay < 0 || f.Jitter < 0 || f.MaxSize < 0 {
		return ErrNegative
	}
	return nil
}

// losesAll reports whether every datagram of this size is lost.
func (f Fault) losesAll(size int) bool {
	return f.Cut || f.MaxSize > 0 && size > f.MaxSize
}
