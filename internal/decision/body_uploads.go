package decision

import "math"

// BodyUploading records that the body of a request is still being uploaded after its attempt was sent.
// Until BodyUploaded, the attempt counts neither as slow nor as late, and no answer is expected of its
// backend, because the client determines the duration of an upload. Requests have no bodies in the
// simulator, so this file is not part of its policy.
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

// BodyUploaded records that the upload is complete, so that the time for the backend's answer starts now.
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
