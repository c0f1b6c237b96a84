package leaseservice

import (
	"github.com/go-kit/log"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/fleet/quorum"
)

// Fleet is what a Service needs of gossip.
type Fleet interface {
	Self() membership.Member
	// Send sends a payload to a member. It may be lost.
	Send(name string, topic gossip.Topic, data []byte)
	Handle(topic gossip.Topic, handler func(from string, data []byte))
}

// Options are the options of a Service.
type Options struct {
	Fleet  Fleet
	Zone   string
	Voters []string // names
	Dir    string   // folder of the voter's store, if this ingress is a voter
	Log    log.Logger

	// StoreRecord replaces the record on disk, and returns once it is durable. While it fails, or does not return, the
	// service holds no role. Nil: none is stored.
	StoreRecord func(Record) error

	// ClockRate is how many seconds the clock runs a second; fault tests set it. 0: 1.
	ClockRate float64
	// WrapStore wraps the voter's store; fault tests set it. Nil: the store is used as it is.
	WrapStore func(quorum.Store) quorum.Store
}
