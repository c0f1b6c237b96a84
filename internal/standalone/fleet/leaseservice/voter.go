package leaseservice

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// runVoter owns the voter. It executes the queued steps and the ticks until the context ends, and then the steps that
// are still queued. Each step may wait for the disk. The messages that result from a step are sent after the step has
// returned, when the state they depend on is durable.
func (s *Service) runVoter(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.runWaitingSteps()
			return
		case step := <-s.voterSteps:
			step()
		case <-ticker.C:
			s.runWaitingSteps()
			s.tickVoter()
		}
	}
}

// runWaitingSteps executes the queued steps. It is called before each tick and at the end of runVoter. If a slow disk
// has delayed the voter, the queued renewals must be handled before the tick, which would otherwise expire their
// leases.
func (s *Service) runWaitingSteps() {
	for range len(s.voterSteps) {
		step := <-s.voterSteps
		step()
	}
}

// enqueueVoterStep passes a step to the goroutine of runVoter without blocking. The step is dropped if the queue is
// full, like a message that the network loses, or if this ingress has no voter.
func (s *Service) enqueueVoterStep(step func()) {
	if s.voter == nil {
		return
	}
	select {
	case s.voterSteps <- step:
	default:
	}
}

// voterCaughtUp returns a channel that is closed once the voter has executed all steps that were queued before. The
// channel is closed from the start if this ingress has no voter or the queue is full.
func (s *Service) voterCaughtUp() <-chan struct{} {
	caughtUp := make(chan struct{})
	if s.voter == nil {
		close(caughtUp)
		return caughtUp
	}
	select {
	case s.voterSteps <- func() { close(caughtUp) }:
	default:
		close(caughtUp)
	}
	return caughtUp
}

func (s *Service) tickVoter() {
	s.voter.Reopen(s.now())
	s.deliver(s.voter.Tick(s.now()))
	s.logVoterStatus()
}

// voterMessageReceived passes a message of another voter to the voter. Invalid messages are dropped.
func (s *Service) voterMessageReceived(m message) {
	if output, err := s.voter.Receive(s.now(), m.data); err == nil {
		s.deliver(output)
	}
}

// requestReceived passes a request of an ingress to the voter.
func (s *Service) requestReceived(r singleton.AcquireRequest) {
	s.deliver(s.voter.HandleRequest(s.now(), r))
}

// deliver sends the messages that result from a step of the voter. Those to this ingress are handled directly.
func (s *Service) deliver(output quorum.Output) {
	for _, m := range output.Messages {
		s.options.Fleet.Send(m.To, topicVote, m.Data)
	}
	self := s.self()
	for _, reply := range output.Replies {
		if reply.To.Name == self {
			s.responseReceived(reply.Response)
			continue
		}
		if data, err := cbor.Marshal(reply.Response); err == nil {
			s.options.Fleet.Send(reply.To.Name, topicAcquireResponse, data)
		}
	}
	for _, name := range output.Wake {
		if name == self {
			s.wakeReceived()
			continue
		}
		s.options.Fleet.Send(name, topicWake, wakePayload)
	}
}
