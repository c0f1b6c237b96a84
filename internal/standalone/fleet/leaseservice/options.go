package leaseservice

import (
	"github.com/go-kit/log"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/fleet/quorum"
)

// Fleet is the part of gossip that a Service uses.
type Fleet interface {
	Self() membership.Member
	// Send sends a payload to a member. The payload may be lost.
	Send(name string, topic gossip.Topic, data []byte)
	Handle(topic gossip.Topic, handler func(from string, data []byte))
}

// Options are the options of a Service.
type Options struct {
	Fleet  Fleet
	Zone   string
	Voters []string // names of the configured voters
	Dir    string   // folder of the voter's store, used if this ingress is a voter
	Log    log.Logger

	// StoreRecord replaces the record on disk, and returns once it is durable. While it fails or does not return, the
	// service holds no role. If it is nil, no record is stored.
	StoreRecord func(Record) error

	// ClockRate is the speed of the service's clock in seconds per second, 1 by default. Fault tests set it to simulate
	// clock drift.
	ClockRate float64
	// WrapStore wraps the voter's store, if it is not nil. Fault tests set it to simulate a faulty disk.
	WrapStore func(quorum.Store) quorum.Store
}
