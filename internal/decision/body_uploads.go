package decision

import "math"

// BodyUploading tells that the body of a request whose attempt has just been decided on is on its way up. Until Arrived,
// the attempt is neither slow nor late, and its backend owes it no answer: how long a body takes is its client's doing.
// It is not part of the simulator's policy: there, requests have no bodies.
func (g *Gateway) BodyUploading(id uint64) {
	if a := g.lastAttempt(id); a != nil {
		a.sentAt = math.Inf(1)
		if a.backend.inFlight == 1 {
			a.backend.unansweredSince = 0
		}
	}
}

// BodyUploaded tells that the body has gone out whole: from now on the backend works on the request.
func (g *Gateway) BodyUploaded(now Seconds, id uint64) {
	if a := g.lastAttempt(id); a != nil {
		a.sentAt = now
		if a.backend.unansweredSince == 0 {
			a.backend.unansweredSince = now
		}
	}
}

func (g *Gateway) lastAttempt(id uint64) *attempt {
	r := g.requests[id]
	if r == nil || len(r.attempts) == 0 || r.attempts[len(r.attempts)-1].ended {
		return nil
	}
	return &r.attempts[len(r.attempts)-1]
}
