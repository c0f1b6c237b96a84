package ingress

import (
	"time"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
)

// Meter records forwarded requests for billing. Its methods return at once and are safe for concurrent use.
type Meter interface {
	// Sent records that the first attempt of a request is about to be sent. The number identifies it to Ended.
	Sent(usage.Request) (seq uint64)
	// Ended records what is known of its arrival at a backend once it has ended.
	Ended(seq uint64, a usage.Arrival)
}

// meteredRequest is what billing is to know of one request. Its zero value is one that has not been forwarded.
type meteredRequest struct {
	meter   Meter // nil: nothing has been sent
	seq     uint64
	arrival usage.Arrival // of the attempt that got farthest
}

// sent records a request before its first attempt is sent: should the process be killed, it is known to have been sent,
// and not whether it arrived.
func (m *meteredRequest) sent(meter Meter, r *decision.Request, t *engine.Ticket, overQuota bool) {
	if m.meter != nil {
		return // a retry
	}
	m.meter = meter
	m.seq = meter.Sent(usage.Request{
		Member:    r.Customer,
		Plan:      t.Plan,
		Class:     r.Class,
		Revision:  t.Revision,
		Units:     usage.ToMicroUnits(r.Units),
		OverQuota: overQuota,
		Minute:    time.Now().Unix() / 60,
	})
}

// ended records the end of the request, if it was forwarded.
func (m *meteredRequest) ended() {
	if m.meter != nil {
		m.meter.Ended(m.seq, m.arrival)
	}
}
