package usage

import "math"

const (
	// maxMinutesInFlight is the age in minutes above which a request without a recorded end is counted with unknown
	// arrival when a segment is closed. No client waits for more than five minutes, so the record of the end was lost,
	// for example because the disk was full.
	maxMinutesInFlight = 10

	msPerMinute = 60_000
)

// Replayer replays segments in order and returns what each adds to the bill. Requests that were in flight when a
// segment ended are carried over into the next.
type Replayer struct {
	Writer  uint64             // writer of the last segment: a run of an ingress
	Pending map[uint64]Request // requests that were sent and have not ended, by Record.Seq
}

// Replay replays one segment. It returns what the segment adds to the bill, and a report on reading it.
func (r *Replayer) Replay(h Header, data []byte) (Tally, Report, error) {
	tally := Tally{}
	if r.Pending == nil {
		r.Pending = map[uint64]Request{}
	}
	if h.Writer != r.Writer {
		r.expire(tally, math.MaxInt64) // the earlier run is over, so the ends of its requests will never be recorded
		r.Writer = h.Writer
	}
	report, err := Scan(data, func(record Record) { r.apply(tally, record) })
	if h.SealedAt > 0 {
		r.expire(tally, h.SealedAt/msPerMinute-maxMinutesInFlight)
	}
	return tally, report, err
}

// apply records a request that was sent as pending, and counts a pending request that has ended.
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

// expire removes the pending requests that were sent before the given minute, and counts them with unknown arrival.
func (r *Replayer) expire(tally Tally, before int64) {
	for seq, request := range r.Pending {
		if request.Minute < before {
			delete(r.Pending, seq)
			tally.Add(request, ArrivalUnknown)
		}
	}
}
