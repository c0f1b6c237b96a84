package usage

import "math"

const (
	// maxMinutesInFlight is after how many minutes a request without a recorded end counts as one of unknown arrival:
	// no client waits for more than five, so its end was lost, to a full disk for example.
	maxMinutesInFlight = 10

	msPerMinute = 60_000
)

// Replayer replays segments in order and returns what each adds to the bill. Requests that were in flight when a
// segment ended are carried over into the next.
type Replayer struct {
	Writer  uint64             // of the last segment: one run of one ingress
	Pending map[uint64]Request // sent and not ended, by number
}

// Replay replays one segment.
func (r *Replayer) Replay(h Header, data []byte) (Tally, Report, error) {
	tally := Tally{}
	if r.Pending == nil {
		r.Pending = map[uint64]Request{}
	}
	if h.Writer != r.Writer {
		r.expire(tally, math.MaxInt64) // that run is over: the ends of what it had in flight will never be recorded
		r.Writer = h.Writer
	}
	report, err := Scan(data, func(record Record) { r.apply(tally, record) })
	if h.SealedAt > 0 {
		r.expire(tally, h.SealedAt/msPerMinute-maxMinutesInFlight)
	}
	return tally, report, err
}

// apply applies one record.
func (r *Replayer) apply(tally Tally, record Record) {
	switch record.Kind {
	case Sent:
		r.Pending[record.Seq] = record.Request
	case Ended:
		if request, ok := r.Pending[record.Seq]; ok {
			delete(r.Pending, record.Seq)
			tally.Add(request, record.Arrival)
		}
	}
}

// expire counts the pending requests that were sent before a minute as of unknown arrival.
func (r *Replayer) expire(tally Tally, before int64) {
	for seq, request := range r.Pending {
		if request.Minute < before {
			delete(r.Pending, seq)
			tally.Add(request, ArrivalUnknown)
		}
	}
}
