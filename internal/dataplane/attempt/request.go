package attempt

import "mulleinrouter/internal/decision"

// Request is a request that was submitted to a Dispatcher. H is the type of its host: what waits for its decisions.
type Request[H any] struct {
	Host H // set by Dispatcher.Submit, which does not look at it; of package engine, its Ticket

	id       uint64
	machine  Machine
	deadline decision.Seconds // of the client
	sentAt   decision.Seconds // when the last attempt was decided on, or its streamed body had been uploaded
	backend  string           // of the last attempt
	streamed bool             // its body is forwarded as it arrives
}

// ID returns the number under which the decision module knows the request.
func (r *Request[H]) ID() uint64 { return r.id }

// Machine returns a copy of the request's machine.
func (r *Request[H]) Machine() Machine { return r.machine }

// phase returns the phase of the request's machine.
func (r *Request[H]) phase() Phase { return r.machine.phase }

// lastAttempt returns the number of the last attempt that was decided on, from 0.
func (r *Request[H]) lastAttempt() int { return r.machine.attempts - 1 }
