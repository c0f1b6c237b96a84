package loopback

import (
	"path/filepath"
	"time"

	"mulleinrouter/internal/cluster/settings"
)

const (
	maxMachines              = 50 // of a kind: their addresses are of one /24 per zone
	defaultHeartbeatInterval = 1500 * time.Millisecond
)

// Options describe a run.
type Options struct {
	CoreMachines, EdgeMachines int
	TrafficTime                time.Duration // from the first request of clients to the last
	Faults                     []Fault
	Seed                       uint64
	ProgramsDir                string          // folder of the three programs
	Load                       float64         // in parts of the usual 120 requests a second; 0: 1
	Bounds                     settings.Bounds // zero: DefaultBounds
	HeartbeatInterval          time.Duration   // of servers; 0: 1.5 s
	WarmUp                     time.Duration   // traffic begins at the earliest this long after the start
	Dir                        string          // folder for settings, disks and logs
	FirstPort                  int             // of the ports of all machines; 0: free ones are drawn
	Metrics                    bool            // the processes serve metrics
	Progress                   func(Progress)  // receives what the run does, call after call; nil: nobody does
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
	o.ProgramsDir, err = filepath.Abs(o.ProgramsDir) // processes start in folders of their own
	return o, err
}

// DefaultBounds returns the bounds of the operators' rules as on usual days; times in seconds.
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

// FastBounds returns bounds for runs of a few seconds: machines are checked sooner after a fault, and against shorter
// times.
func FastBounds() settings.Bounds {
	b := DefaultBounds()
	b.Contact = 1
	b.ConfigApply = 1.5
	b.Drain = 1.2
	b.MaxStretch = 3
	return b
}

// seconds converts a bound to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
