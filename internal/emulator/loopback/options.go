package loopback

import (
	"path/filepath"
	"time"

	"mulleinrouter/internal/cluster/settings"
)

const (
	// maxMachines is the maximum number of machines of a kind. It keeps the addresses of edge machines below those of
	// core nodes (coreHostOffset), because both share one /24 network per zone.
	maxMachines              = 50
	defaultHeartbeatInterval = 1500 * time.Millisecond
)

// Options configures a run.
type Options struct {
	CoreMachines, EdgeMachines int
	TrafficTime                time.Duration // time during which clients send requests
	Faults                     []Fault
	Seed                       uint64
	ProgramsDir                string          // folder that contains the three programs
	Load                       float64         // rate of requests, as a multiple of 120 requests per second; 0: 1
	Bounds                     settings.Bounds // bounds to check; zero value: DefaultBounds
	HeartbeatInterval          time.Duration   // between two heartbeats of a server; 0: 1.5 s
	WarmUp                     time.Duration   // minimum time from the start of the run to the start of the traffic
	Dir                        string          // folder for settings, disks and logs
	FirstPort                  int             // first port of all machines; 0: free ports are drawn
	Metrics                    bool            // the processes serve metrics
	Progress                   func(Progress)  // receives the progress of the run, in sequential calls; nil: no calls
}

// complete checks the options and fills in the defaults.
func (o Options) complete() (Options, error) {
	if o.Load == 0 {
		o.Load = 1
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.Bounds == (settings.Bounds{}) {
		o.Bounds = DefaultBounds()
	}
	if min(o.CoreMachines, o.EdgeMachines) < 1 || max(o.CoreMachines, o.EdgeMachines) > maxMachines {
		return o, ErrMachineCount
	}
	var err error
	o.ProgramsDir, err = filepath.Abs(o.ProgramsDir) // each process starts in its own working directory
	return o, err
}

// DefaultBounds returns the default bounds of the operators' rules. Times are in seconds, ratios and excesses are
// fractions, and RetrySlack and QuotaSlack are numbers of requests.
func DefaultBounds() settings.Bounds {
	return settings.Bounds{
		SeedLag:     3,
		ReuseAfter:  2,
		Contact:     3,
		Ack:         5,
		CatchUp:     4,
		Drain:       2.5,
		Grace:       6,
		LossSlack:   0.2,
		ConfigApply: 2.5,
		RevertSlack: 0.25,
		MaxStretch:  8,
		Revoke:      5,
		RetryRatio:  0.2,
		RetryWindow: 10,
		RetrySlack:  62,
		QuotaWindow: 5,
		QuotaExcess: 0.1,
		QuotaSlack:  20,
		Recovery:    15,
	}
}

// FastBounds returns bounds for runs of a few seconds. With these, machines are checked sooner after a fault, and must
// meet shorter time limits.
func FastBounds() settings.Bounds {
	b := DefaultBounds()
	b.Contact = 1
	b.ConfigApply = 1.5
	b.Drain = 1.2
	b.MaxStretch = 3
	return b
}

// seconds converts a time in seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
