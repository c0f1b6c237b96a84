package leaseservice

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// runVoter owns the voter: it executes its steps and ticks until the context ends, and then the steps that wait. Each
// may wait for the disk. What a step has the voter send is sent once the step has returned, when all that it depends on
// is durable.
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

// runWaitingSteps executes the steps that wait. A tick comes after them: where the disk has held up the voter, the
// renewals that wait show that their ingresses are not silent.
func (s *Service) runWaitingSteps() {
	for range len(s.voterSteps) {
		step := <-s.voterSteps
		step()
	}
}

// onVoter hands a step to the goroutine of runVoter. It is dropped if too many wait, as on the network, or if this
// ingress is no voter.
func (s *Service) onVoter(step func()) {
	if s.voter == nil {
		return
	}
	select {
	case s.voterSteps <- step:
	default:
	}
}

// voterCaughtUp returns a channel that closes once the voter has executed the steps that were handed to it before. It
// is closed already if this ingress is no voter, or too many steps wait.
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

// voterMessageReceived steps the voter with a message of another one.
func (s *Service) voterMessageReceived(m message) {
	if output, err := s.voter.Receive(s.now(), m.data); err == nil {
		s.deliver(output)
	}
}

// requestReceived steps the voter with a request of an ingress.
func (s *Service) requestReceived(r singleton.AcquireRequest) {
	s.deliver(s.voter.HandleRequest(s.now(), r))
}

// deliver sends what a step of the voter wants sent.
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
