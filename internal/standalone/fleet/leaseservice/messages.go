package leaseservice

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Topics of messages between ingresses.
const (
	topicVote            gossip.Topic = 1 // quorum.Message, between voters
	topicAcquireRequest  gossip.Topic = 2 // singleton.AcquireRequest, to voters
	topicAcquireResponse gossip.Topic = 3 // singleton.AcquireResponse, from the leader
	topicWake            gossip.Topic = 4 // from the leader, asks for the next request at once
	topicCall            gossip.Topic = 5 // an operator's call, to voters; the leader responds
	topicCallResponse    gossip.Topic = 6
	topicExport          gossip.Topic = 7 // a batch of usage, to the holder of RoleExport
	topicExportResponse  gossip.Topic = 8
	topicRevisionLog     gossip.Topic = 9 // revisionlog.Message, see Announcer
)

// handledTopics are the topics that Service.handleMessage handles.
var handledTopics = []gossip.Topic{
	topicVote,
	topicAcquireRequest,
	topicAcquireResponse,
	topicWake,
	topicCall,
	topicCallResponse,
	topicExport,
	topicExportResponse,
}

// wakePayload is the payload of topicWake. Its content has no meaning.
var wakePayload = []byte{1}

// message is a message from another ingress, or from this one to itself.
type message struct {
	topic gossip.Topic
	from  string
	data  []byte
}

// enqueue passes a message to the goroutine of run without blocking. The message is dropped if the inbox is full.
func (s *Service) enqueue(m message) {
	select {
	case s.inbox <- m:
	default:
	}
}

// handleMessage handles a message. Messages that cannot be decoded are dropped, and so are an AcquireRequest whose From
// is not the sender and an AcquireResponse that does not come from a voter. A response to a call is accepted from any
// ingress that knows the random id of the call.
func (s *Service) handleMessage(m message) {
	switch m.topic {
	case topicVote:
		s.enqueueVoterStep(func() { s.voterMessageReceived(m) })
	case topicAcquireRequest:
		var r singleton.AcquireRequest
		if cbor.Unmarshal(m.data, &r) == nil && r.From.Name == m.from {
			s.enqueueVoterStep(func() { s.requestReceived(r) })
		}
	case topicAcquireResponse:
		var r singleton.AcquireResponse
		if slices.Contains(s.options.Voters, m.from) && cbor.Unmarshal(m.data, &r) == nil {
			s.responseReceived(r)
		}
	case topicWake:
		s.wakeReceived()
	case topicCall:
		s.enqueueVoterStep(func() { s.handleCall(m) })
	case topicExport:
		s.handleExport(m)
	case topicCallResponse, topicExportResponse:
		s.calls.complete(m.data)
	}
}

// responseReceived handles a response of the leader.
func (s *Service) responseReceived(r singleton.AcquireResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range r.Statuses {
		s.roleStatus[status.Role] = status
	}
	s.stepLeaseHolder(singleton.ResponseReceived{Response: r})
}

// wakeReceived handles a message of the leader that asks for the next request at once.
func (s *Service) wakeReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLeaseHolder(singleton.WakeReceived{})
}
