package gossip

import (
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// DefaultInterval is the default time between two probes of the SWIM protocol.
const DefaultInterval = 300 * time.Millisecond

// Options configure the membership of an ingress in a fleet.
type Options struct {
	Fleet     string // name of the fleet; packets of other fleets are rejected
	Name      string
	Zone      string
	Version   string
	Listen    string        // host:port; port 0 picks a free one
	Advertise string        // host:port at which other members reach this one; empty: the bound address
	Join      []string      // host:port of seeds
	KeyFile   string        // empty: messages are neither encrypted nor authenticated
	Interval  time.Duration // between two probes of the protocol; 0: DefaultInterval
	Expect    int           // number of members in the configuration, this one included
	Number    int           // index of this member among them, from 0
	Seed      uint64        // seed of random choices
	Store     Store         // nil: nothing is stored
	Log       log.Logger

	// Network returns the transport of an instance and the address at which other members reach it. If it is nil, the
	// fleet uses sockets.
	Network func() (memberlist.NodeAwareTransport, string, error)
}

// Store keeps the record of this ingress in a folder that outlives its processes. Write returns once the record is on
// disk.
type Store interface {
	Read(v any) error // the error wraps fs.ErrNotExist if no record is stored
	Write(v any) error
}

// Record is the stored state, which is the number of processes started under this name and the last agreed membership.
type Record struct {
	Boot    uint64              `json:"Boot"`
	Members []membership.Member `json:"Members"`
}
