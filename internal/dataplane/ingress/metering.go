package ingress

import (
	"time"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
)

// Meter records forwarded requests for billing. Its methods return at once and are safe for concurrent use.
type Meter interface {
	// Sent records that the first attempt of a request is about to be sent. It returns a number that identifies the
	// request to Ended.
	Sent(usage.Request) (seq uint64)
	// Ended records that a request has ended, and whether it is known to have arrived at a backend.
	Ended(seq uint64, a usage.Arrival)
}

// meteredRequest records a request for billing. The zero value represents a request that has not been forwarded.
type meteredRequest struct {
	meter   Meter         // nil: no attempt has been sent
	seq     uint64        // number of the request at the meter
	arrival usage.Arrival // largest arrival of all attempts
}

// recordSent records a request before its first attempt is sent. If the process is killed afterwards, the records say
// that the request was sent, and that it is unknown whether it arrived.
func (m *meteredRequest) recordSent(meter Meter, r *decision.Request, t *engine.Ticket, overQuota bool) {
	if m.meter != nil {
		return // the attempt is a retry
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

// recordEnded records the end of the request, if it was forwarded.
func (m *meteredRequest) recordEnded() {
	if m.meter != nil {
		m.meter.Ended(m.seq, m.arrival)
	}
}
