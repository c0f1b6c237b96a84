package node

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/fleet/quotashare"
	"mulleinrouter/internal/standalone/fleet/quotasync"
	"mulleinrouter/internal/standalone/state"
)

// Kinds of records in the state folder, which are parts of file names on disk.
const (
	membershipRecord  = "fleet"     // belongs to the ingress, not to one of its processes
	leaseRecord       = "duty"      // belongs to one process, see startLeases
	revisionLogRecord = "catalogue" // belongs to the ingress
)

// revisionLength is the number of characters to which buildRevision abbreviates the build's revision, which an ingress
// publishes to the fleet as its version.
const revisionLength = 12

// stateFolder returns the state folder of this ingress for a process. Process 0 means the ingress as a whole.
func (n *Node) stateFolder(process int64) *state.Folder {
	folder := state.Open(n.config.State, n.config.Name, process)
	folder.FS = n.config.FaultInjection.FS()
	return folder
}

// membershipStore keeps the fleet's membership in the state folder of this ingress.
type membershipStore struct{ folder *state.Folder }

func (m membershipStore) Read(v any) error {
	return m.folder.Read(membershipRecord, m.folder.Process(), v)
}

func (m membershipStore) Write(v any) error { return m.folder.Write(membershipRecord, v) }

// joinFleet starts gossip with the other ingresses and, as configured, the exchange of quotas and the leases.
func (n *Node) joinFleet(ctx context.Context) (err error) {
	c, m := n.config, n.config.Membership
	options := gossip.Options{
		Fleet:     m.Fleet,
		Name:      c.Name,
		Zone:      c.Settings.Zone,
		Version:   buildRevision(),
		Listen:    m.Listen,
		Advertise: m.Advertise,
		Join:      m.Join,
		KeyFile:   m.KeyFile,
		Interval:  m.Interval,
		Expect:    c.Settings.Gateways,
		Number:    c.Settings.Index,
		Seed:      c.Seed,
		Log:       n.log,
	}
	if c.State != "" {
		options.Store = membershipStore{n.stateFolder(0)}
	}
	if n.fleet, err = gossip.Start(options); err != nil {
		return err
	}
	n.watcher.Rank = n.fleet.Rank
	if m.Share {
		n.startQuotaSync(ctx)
	}
	if len(m.Voters) > 0 {
		n.startLeases()
	}
	n.closers = append(n.closers, n.closeFleet)
	return nil
}

// startQuotaSync starts to share quotas and warnings of unhealthy servers with the other ingresses.
func (n *Node) startQuotaSync(ctx context.Context) {
	c, self := n.config, n.fleet.Self()
	n.quotaSync = quotasync.New(quotasync.Options{
		Gossip:    n.fleet,
		ClockRate: c.FaultInjection.ClockRate(),
		Log:       n.log,
		Options: quotashare.Options{
			Name:        c.Name,
			Zone:        c.Settings.Zone,
			Ingresses:   max(1, c.Settings.Gateways),
			Incarnation: self.Incarnation,
			HasCounter:  n.counter != nil,
		},
	})
	n.engine.SetQuotaSharer(n.quotaSync)
	n.spawn(func() { n.quotaSync.Run(ctx, n.engine) })
}

// startLeases starts the service for leases of singleton roles, which the voters grant.
func (n *Node) startLeases() {
	c := n.config
	// The record belongs to the process, not to the ingress, because during an upgrade each of two processes keeps the
	// leases that it holds itself.
	folder := n.stateFolder(int64(os.Getpid()))
	n.leases = leaseservice.Start(leaseservice.Options{
		Fleet:       n.fleet,
		Zone:        c.Settings.Zone,
		Voters:      c.Membership.Voters,
		Dir:         c.State,
		Log:         n.log,
		ClockRate:   c.FaultInjection.ClockRate(),
		WrapStore:   c.FaultInjection.WrapVoteStore,
		StoreRecord: func(r leaseservice.Record) error { return folder.Write(leaseRecord, r) },
	})
	n.closers = append(n.closers, func() { folder.Remove(leaseRecord, folder.Process()) })
}

// closeFleet stops the lease service and leaves the fleet.
func (n *Node) closeFleet() {
	if n.leases != nil {
		n.leases.Stop()
	}
	n.fleet.Leave(n.newerProcess.Load())
	n.fleet.Stop()
}

// buildRevision returns the abbreviated revision that the program was built from, or "unknown" if the build has none.
func buildRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(revisionLength, len(s.Value))]
			}
		}
	}
	return "unknown"
}

// publishPhase publishes to the other ingresses whether this one serves or is a lame duck, if that has changed.
func (n *Node) publishPhase() {
	if n.fleet == nil {
		return
	}
	switch n.server.Phase() {
	case decision.Serving:
		n.fleet.SetPhase(membership.Serving)
	case decision.LameDuck:
		n.fleet.SetPhase(membership.LameDuck)
	}
}

// publishDeparture resigns the leases at SIGTERM and announces to the other ingresses that this one is leaving, before
// its listener closes. If a newer process of this ingress waits for the gossip address, the address is released at
// once and nothing is announced, because both processes are one member to the others.
func (n *Node) publishDeparture() {
	if n.leases != nil {
		n.leases.Resign()
	}
	switch {
	case n.fleet == nil:
	case n.newerProcess.Load():
		n.fleet.Leave(true)
	default:
		n.fleet.SetPhase(membership.Leaving)
	}
}

// fleetStatus returns the text about the fleet on the readiness page.
func (n *Node) fleetStatus() string {
	reachability := n.fleet.Reachability()
	return fmt.Sprintf("%v; heard=%d/%d", reachability.Level, reachability.Alive, reachability.Agreed)
}
