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
	Listen    string // address for clients
	Discovery string // empty if Static is set
	Counter   string // empty: there is no counter
	Mgmt      string // management address, for operators only; empty: none
	State     string // folder for state that outlives a process; the processes of an upgrade share it; empty: none
	Seed      uint64 // seed of the random choices of this ingress
	Limits    Limits
	Known     *discovery.List // initial endpoint list; nil: none
	Settings  decision.Settings

	// SettingsRaw is the JSON text of the platform's settings, against which a newer file is checked at a reload. It is
	// nil for an HCL file.
	SettingsRaw []byte

	// The following fields are set by HCL files only, because the platform's format has no keys for them.
	Static         bool             // Known is the complete list, and the ingress does not use discovery
	Embedded       string           // address where this ingress serves an embedded counter; empty: none
	Catalogue      string           // path of the catalogue of plans, which is watched; empty: none
	UseRevisionLog bool             // catalogue revisions take effect only when the lease holder has announced them
	Usage          *Usage           // nil: usage is not recorded
	Log            logging.Settings // zero value: level info, format logfmt

	Membership *Membership // nil: the ingress does not communicate with other ingresses

	FaultInjection *faultinjection.Faults // set by the command line in fault tests only, never by a file; nil: none
}

// Membership is the configuration of this ingress as a member of its fleet.
type Membership struct {
	Fleet     string        // name of the fleet; messages from other fleets are rejected
	Listen    string        // host:port for datagrams and streams
	Advertise string        // host:port at which other members reach this one; empty: Listen
	Join      []string      // host:port of members to contact at the start
	KeyFile   string        // path of the gossip keys; empty: messages are not encrypted
	Interval  time.Duration // time between health checks of members
	Share     bool          // members exchange warnings of servers, and share quotas while the counter is not trusted
	Voters    []string      // names of the members that vote on lease holders; empty: there are no leases
}

// Usage is the configuration of usage records and their export.
type Usage struct {
	Dir      string
	Endpoint string        // URL to which batches are sent; empty: none
	Rotate   time.Duration // age at which a segment with records is closed, after which it can be exported
	Keep     time.Duration // how long acknowledged segments are kept after their last write
}

// Limits are the resources of the machine that the ingress may use. Zero means the default of node.Tune, which for
// Cores is that of the Go runtime.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; may be a fraction
	MemoryMB int     `json:"memory_mb"` // in units of 2^20 bytes
	Sockets  int     `json:"sockets"`   // open sockets, of which clients and backends get shares
}
