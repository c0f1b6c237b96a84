package gossip

import (
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// DefaultInterval is how often the SWIM protocol probes a member.
const DefaultInterval = 300 * time.Millisecond

// Options are those of an ingress in a fleet.
type Options struct {
	Fleet     string
	Name      string
	Zone      string
	Version   string
	Listen    string        // host:port; port 0 draws one
	Advertise string        // host:port at which others reach it; empty: where it listens
	Join      []string      // host:port of seeds
	KeyFile   string        // empty: messages are neither encrypted nor authenticated
	Interval  time.Duration // of the protocol's probes; 0: DefaultInterval
	Expect    int           // members by the configuration, this one included
	Number    int           // index of this one among them, from 0
	Seed      uint64        // of random choices
	Store     Store         // nil: nothing is stored
	Log       log.Logger

	// Network returns the transport of an instance and the address at which others reach it; nil: sockets.
	Network func() (memberlist.NodeAwareTransport, string, error)
}

// Store keeps the record of this ingress in a folder that outlives its processes. Write returns once it is on disk.
type Store interface {
	Read(v any) error // fs.ErrNotExist: there is none
	Write(v any) error
}

// Record is what is stored: how often a process started under this name, and the last agreed membership.
type Record struct {
	Boot    uint64              `json:"Boot"`
	Members []membership.Member `json:"Members"`
}
