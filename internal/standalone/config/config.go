package config

import (
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/faultinjection"
)

// Config is the configuration of one ingress. Addresses are host:port.
type Config struct {
	Name      string
	Listen    string // address of clients
	Discovery string
	Counter   string // empty: there is no counter
	Mgmt      string // the management address, for operators alone; empty: none
	State     string // folder that this ingress's processes share while one upgrades another; empty: none
	Seed      uint64
	Limits    Limits
	Known     *discovery.List // endpoint list to start with; nil: none
	Settings  decision.Settings

	// SettingsRaw are the settings as the platform's file has them, to check a newer file against; nil in our own form.
	SettingsRaw []byte

	// Only our own file names these: the platform gives no place for them.
	Static         bool             // Known is the complete list: there is no discovery
	Embedded       string           // address where this ingress serves a counter of its own; empty: none
	Catalogue      string           // file of plans that change in service; empty: none
	UseRevisionLog bool             // revisions of the catalogue take effect once the lease holder has announced them
	Usage          *Usage           // nil: usage is not recorded
	Log            logging.Settings // zero: info, in logfmt

	Membership *Membership // nil: ingresses do not know of each other

	FaultInjection *faultinjection.Faults // of a process that a fault test started; no file names them
}

// Membership is how this ingress takes part in its fleet.
type Membership struct {
	Fleet     string        // name of the fleet: messages of another are rejected
	Listen    string        // host:port for datagrams and streams
	Advertise string        // host:port that the others use; empty: Listen
	Join      []string      // host:port of others, to begin with
	KeyFile   string        // gossip keys; empty: messages are not encrypted
	Interval  time.Duration // between health checks of members
	Share     bool          // quotas, while the counter is not trusted, and verdicts on servers are shared
	Voters    []string      // names of those that agree on lease holders; empty: there are no leases
}

// Usage is where usage is recorded, and where it is exported to.
type Usage struct {
	Dir      string
	Endpoint string        // URL that takes batches; empty: none
	Rotate   time.Duration // a segment is closed after this, and can be exported
	Keep     time.Duration // how long segments stay after they have been acknowledged
}

// Limits are those of the ingress's machine. Zero means: the default of node.Tune.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}
