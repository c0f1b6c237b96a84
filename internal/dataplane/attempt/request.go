package attempt

import "mulleinrouter/internal/decision"

// Request is a request that was submitted to a Dispatcher. H is the type of the value that the host attaches to it.
type Request[H any] struct {
	Host H // passed to Dispatcher.Submit, which does not use it; package engine stores its Ticket here

	id       uint64
	machine  Machine
	deadline decision.Seconds // deadline of the client
	sentAt   decision.Seconds // time of the last decision to send, or of the end of a streamed body's upload
	backend  string           // backend of the last attempt
	streamed bool             // the body is forwarded as it arrives
}

// ID returns the ID of the request in the decision module's events and actions.
func (r *Request[H]) ID() uint64 { return r.id }

// Machine returns a copy of the request's machine.
func (r *Request[H]) Machine() Machine { return r.machine }

// phase returns the phase of the request's machine.
func (r *Request[H]) phase() Phase { return r.machine.phase }

// lastAttempt returns the number, from 0, of the last attempt that the decision module has decided to send.
func (r *Request[H]) lastAttempt() int { return r.machine.attempts - 1 }
