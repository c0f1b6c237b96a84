package shards

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/mutants"
)

const (
	// callTimeout limits the attempts at a call, because its caller tries another node after one second.
	callTimeout = 850 * time.Millisecond
	// forwardTimeout limits the wait for the answer to a forwarded call. After it the leaseholder is looked up again.
	forwardTimeout       = 450 * time.Millisecond
	retryDelay           = 15 * time.Millisecond // between attempts
	maxRedirects         = 2                     // redirects that are followed without retryDelay; prevents a busy loop
	maxForwardedInFlight = 2048                  // calls of other nodes that are evaluated at once; bounds memory
)

// Do evaluates a request at the leaseholder of its shard, which may be this node or another. Its errors are
// ErrNoLeaseholder and ErrUnknownOutcome. A request may be repeated, because the repetition finds the effect of the
// first attempt; a repeated request for a number gets another number, and the first one is skipped.
func (s *Service) Do(ctx context.Context, r coordination.Request) (coordination.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(r.WaitMs)*time.Millisecond)
	defer cancel()
	began := s.now()
	result, err := s.do(ctx, r)
	s.Metrics.record(r.Kind, result.Code, err, s.now()-began)
	return result, err
}

// timeLeft returns the time until the deadline of a context. A process that was suspended past the deadline sees this
// at once, while the context may still seem to be in force until its timer has run.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Duration(math.MaxInt64)
	}
	return time.Until(deadline)
}

func (s *Service) do(ctx context.Context, r coordination.Request) (coordination.Result, error) {
	unknown := false
	for redirects := 0; ; {
		result, redirected, err := s.try(ctx, r)
		switch {
		case err == nil && unknown && isRefusal(result.Code):
			return coordination.Result{}, ErrUnknownOutcome // an earlier attempt may have taken effect
		case err == nil:
			return result, nil
		case errors.Is(err, ErrUnknownOutcome) && !r.ReadOnly():
			unknown = true
		}
		if redirected && redirects < maxRedirects {
			redirects++
			continue
		}
		if redirects = 0; !retry.Sleep(ctx, retryDelay) || ctx.Err() != nil || s.ctx.Err() != nil {
			break
		}
	}
	if unknown {
		return coordination.Result{}, ErrUnknownOutcome
	}
	return coordination.Result{}, ErrNoLeaseholder
}

// isRefusal reports whether a code means that the request has had no effect, for a reason that may be temporary.
func isRefusal(code coordination.Code) bool {
	return code == coordination.TooMany || code == coordination.TooManyOpen
}

// try makes one attempt at a request, here or at the last known leaseholder; if none is known, at a random voter.
// Redirected means that the node that was asked named another leaseholder.
func (s *Service) try(ctx context.Context, r coordination.Request) (
	result coordination.Result, redirected bool, err error,
) {
	h := s.hostOf(r)
	if h == nil {
		return result, false, errNotLeaseholder
	}
	result, err = h.serve(ctx, r)
	if !errors.Is(err, errNotLeaseholder) {
		return result, false, err
	}
	leader := h.leaderOrRandomVoter()
	if leader == "" || leader == s.options.Self {
		return result, false, errNotLeaseholder
	}
	result, named, err := s.forward(ctx, leader, r)
	if err != nil {
		h.learnLeader(named)
	} else {
		h.learnLeader(leader)
	}
	return result, named != "" && named != leader, err
}

// learnLeader records the node that answered as the leaseholder, or that another node named as such. An empty address
// forgets it. A node without a replica of the shard has no other way to know it.
func (h *host) learnLeader(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaderHint = addr
}

// leaderOrRandomVoter returns the last known leaseholder, or else a random voter, which may know it.
func (h *host) leaderOrRandomVoter() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leader := h.replica.Leader(); leader != "" {
		return leader
	}
	if h.leaderHint != "" {
		return h.leaderHint
	}
	voters := h.replica.Voters()
	if len(voters) == 0 {
		voters = h.service.options.Electorate().Voters
	}
	if len(voters) == 0 {
		return ""
	}
	return voters[rand.IntN(len(voters))].Addr //nolint:gosec // any voter will do
}

// serve evaluates a request as the leaseholder. The lease is checked at the moment of the evaluation, after the call
// has been received, so that the answer was true at that moment.
func (h *host) serve(ctx context.Context, r coordination.Request) (coordination.Result, error) {
	for {
		if !r.ReadOnly() && timeLeft(ctx) <= 0 {
			return coordination.Result{}, errNotLeaseholder
		}
		out, committed, changed, err := h.evaluate(r)
		if err != nil {
			return coordination.Result{}, err
		}
		if !out.Pending {
			return h.await(ctx, r, out, committed)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out.Result, nil
		case <-h.service.ctx.Done():
			return out.Result, nil
		}
	}
}

// evaluate evaluates a request and proposes its writes. Committed is nil if the caller need not wait for a commit.
// Changed is closed at the next commit and at the end of the term.
func (h *host) evaluate(r coordination.Request) (
	out coordination.Outcome, committed <-chan bool, changed <-chan struct{}, err error,
) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	leased := h.replica.HoldsLease(now) || mutants.On("shards/lease-not-looked-at")
	if h.tables == nil || !leased {
		return out, nil, nil, errNotLeaseholder
	}
	next := h.replica.Last().Seq + 1
	out = h.tables.Evaluate(r, now, next, h.commit)
	if len(out.Writes) > 0 {
		h.replica.Propose(out.Writes, now)
	}
	if out.CommitBefore > h.commit && !mutants.On("shards/answers-before-commit") {
		committed = h.waiters.add(out.CommitBefore)
	}
	changed = h.waiters.changed
	h.processOutput(now)
	return out, committed, changed, nil
}

// await waits until all batches that an outcome depends on are committed. If that fails, a read-only request and one
// that ended in a mismatch get errNotLeaseholder, because they have proposed no writes and so had no effect. The
// outcome of all others is unknown.
func (h *host) await(ctx context.Context, r coordination.Request, out coordination.Outcome, committed <-chan bool) (
	coordination.Result, error,
) {
	if committed == nil {
		return out.Result, nil
	}
	select {
	case ok := <-committed:
		if ok {
			return out.Result, nil
		}
	case <-ctx.Done():
	case <-h.service.ctx.Done():
	}
	if r.ReadOnly() || out.Result.Code == coordination.Mismatch {
		return coordination.Result{}, errNotLeaseholder
	}
	return coordination.Result{}, ErrUnknownOutcome
}

// forward sends a request to another node for evaluation, unless the context has expired. Without an answer its outcome
// is unknown. Leader is the leaseholder that the other node named.
func (s *Service) forward(ctx context.Context, to string, r coordination.Request) (
	result coordination.Result, leader string, err error,
) {
	timeout := min(forwardTimeout+time.Duration(r.WaitMs)*time.Millisecond, timeLeft(ctx))
	if timeout <= 0 {
		return result, "", errNotLeaseholder
	}
	id, reply := s.addForward()
	defer s.removeForward(id)
	s.outbox(to).addCall(s.now()+timeout.Seconds(), transport.CoordinationCall{ID: id, Request: r})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		switch answer.Status {
		case transport.CoordinationAnswered:
			return answer.Result, "", nil
		case transport.CoordinationNotLeaseholder:
			return result, answer.Leader, errNotLeaseholder
		case transport.CoordinationUnknown:
		}
	case <-timer.C:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return result, "", ErrUnknownOutcome
}

// firstCall returns the number after which a process numbers the calls that it forwards. A node of an earlier version
// sends its replies to whichever process of the caller is connected, so the numbers of two processes must differ too:
// those of earlier versions begin at 0, all others at a random number in the upper half of the range.
func firstCall(incarnation uint64) uint64 {
	if mutants.On("shards/replies-to-any-process") {
		return 0
	}
	const (
		stream    = 1
		upperHalf = 1 << 63
	)
	return rand.NewPCG(incarnation, stream).Uint64() | upperHalf
}

// addForward numbers a call, and returns its number and the channel on which its reply arrives.
func (s *Service) addForward() (id uint64, reply <-chan transport.CoordinationReply) {
	waiting := make(chan transport.CoordinationReply, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	s.forwards[s.lastCall] = waiting
	return s.lastCall, waiting
}

func (s *Service) removeForward(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.forwards, id)
}

// deliver passes a reply to the call that waits for it.
func (s *Service) deliver(reply transport.CoordinationReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting := s.forwards[reply.ID]; waiting != nil {
		delete(s.forwards, reply.ID)
		waiting <- reply
	}
}

// serveForwarded evaluates a call of a process of another node in a new goroutine, and replies to that process only.
// If maxForwardedInFlight are being evaluated already, it rejects the call.
func (s *Service) serveForwarded(from Process, call transport.CoordinationCall) {
	s.mu.Lock()
	s.forwardedInFlight++
	busy := s.forwardedInFlight > maxForwardedInFlight
	if busy {
		s.forwardedInFlight--
	}
	s.mu.Unlock()
	if busy {
		refusal := coordination.Result{Code: coordination.TooManyOpen}
		s.outbox(from.Addr).addReply(from.Incarnation, transport.CoordinationReply{
			ID: call.ID, Status: transport.CoordinationAnswered, Result: refusal,
		})
		return
	}
	s.start(func() {
		s.outbox(from.Addr).addReply(from.Incarnation, s.evaluateForwarded(call))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.forwardedInFlight--
	})
}

func (s *Service) evaluateForwarded(call transport.CoordinationCall) transport.CoordinationReply {
	limit := callTimeout
	if call.Request.Kind == coordination.Watch {
		limit = time.Duration(min(call.Request.WaitMs, coordination.MaxWaitMs)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	reply := transport.CoordinationReply{ID: call.ID}
	h := s.hostOf(call.Request)
	if h == nil {
		reply.Status = transport.CoordinationNotLeaseholder
		return reply
	}
	result, err := h.serve(ctx, call.Request)
	switch {
	case err == nil:
		reply.Status, reply.Result = transport.CoordinationAnswered, result
	case errors.Is(err, errNotLeaseholder):
		reply.Status, reply.Leader = transport.CoordinationNotLeaseholder, h.knownLeader()
	default:
		reply.Status = transport.CoordinationUnknown
	}
	return reply
}

// knownLeader returns the last known leaseholder. If that is this node, it returns "", because this node does not hold
// the lease.
func (h *host) knownLeader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leader := h.replica.Leader(); leader != h.service.options.Self {
		return leader
	}
	return ""
}
