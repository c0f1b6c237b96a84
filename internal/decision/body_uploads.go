package decision

import "math"

// BodyUploading notes that the body of a request whose attempt has just been sent is being uploaded. Until
// BodyUploaded, the attempt is neither slow nor late, and its backend owes no answer: how long an upload
// takes is up to the client. In the simulator requests have no bodies, so this file is no part of its policy.
func (g *Gateway) BodyUploading(id uint64) {
	a := g.lastAttempt(id)
	if a == nil {
		return
	}
	a.sentAt = math.Inf(1)
	if a.backend.inFlight == 1 {
		a.backend.unansweredSince = 0
	}
}

// BodyUploaded notes that the body is complete: from now on the backend works on the request.
func (g *Gateway) BodyUploaded(now Seconds, id uint64) {
	a := g.lastAttempt(id)
	if a == nil {
		return
	}
	a.sentAt = now
	if a.backend.unansweredSince == 0 {
		a.backend.unansweredSince = now
	}
}

// lastAttempt returns the last attempt of a request, if it is in flight.
func (g *Gateway) lastAttempt(id uint64) *attempt {
	r := g.requests[id]
	if r == nil || len(r.attempts) == 0 {
		return nil
	}
	last := &r.attempts[len(r.attempts)-1]
	if last.ended {
		return nil
	}
	return last
}
