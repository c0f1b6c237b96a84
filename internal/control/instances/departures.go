package instances

import (
	"context"
	"slices"
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/peers"
	"mulleinrouter/internal/control/replica"
	"mulleinrouter/internal/control/storage"
)

const (
	// DepartureTimeout is how long a server waits for its departure to be on enough disks.
	DepartureTimeout = 800 * time.Millisecond

	maxPersisted = 4096 // instances in one request
	minCopies    = 2    // disks that must have a departure before it is acknowledged, if there are as many
)

// Departures stores the departures of instances on enough disks that no tolerated loss takes them all.
type Departures struct {
	Registry *Registry
	Settings *settings.Settings
	Replica  *replica.Replica
	Peers    *peers.Set
	Disk     func() *storage.Store // nil: it has not been read yet
}

// Persist merges departing instances of another node, and returns true once they are on this node's disk.
func (d *Departures) Persist(instances []registry.Instance) bool {
	disk := d.Disk()
	if len(instances) > maxPersisted || disk == nil {
		return false
	}
	d.Registry.Merge(instances)
	return replica.AwaitSync(d.Registry.PersistDepartures(disk, IDs(instances)...), 0)
}

// Replicate stores a departing instance on the disks of voters, and returns true once it is on one more than may
// be lost, or on all.
func (d *Departures) Replicate(ctx context.Context, instance registry.Instance) bool {
	voters, _ := d.Replica.Voters()
	results, pending := d.requestCopies(ctx, instance, voters)
	required := d.requiredCopies(voters)
	for copies := 0; pending > 0; pending-- {
		select {
		case ok := <-results:
			if ok {
				copies++
			}
		case <-ctx.Done():
			return false
		}
		if copies >= required {
			d.Registry.Acknowledge(instance)
			return true
		}
	}
	return false
}

// requiredCopies is as many disks as may be lost, and one more.
func (d *Departures) requiredCopies(voters []string) int {
	required := max(minCopies, d.Settings.Tolerance.Machines+1)
	if voters != nil {
		required = min(required, len(voters))
	}
	return required
}

// requestCopies has the voters, or all peers while the voters are unknown, and this node store an instance. Each
// sends one result.
func (d *Departures) requestCopies(
	ctx context.Context, instance registry.Instance, voters []string,
) (results <-chan bool, pending int) {
	all := d.Peers.All()
	copies := make(chan bool, len(all)+1)
	for _, peer := range all {
		if voters != nil && !slices.Contains(voters, peer.Addr) {
			continue
		}
		pending++
		go func() { copies <- requestCopy(peer, instance) }()
	}
	if disk := d.Disk(); disk != nil {
		pending++
		if save := d.Registry.PersistDepartures(disk, instance.ID); save != nil {
			go func() { copies <- save.Wait(ctx) == nil }()
		} else {
			copies <- true
		}
	}
	return copies, pending
}

// requestCopy has a peer store an instance.
func requestCopy(peer *peers.Peer, instance registry.Instance) bool {
	request := &transport.Frame{PersistRequest: &transport.PersistRequest{Instances: []registry.Instance{instance}}}
	answer, err := peer.Call(DepartureTimeout, request)
	return err == nil && answer.PersistReply != nil && answer.PersistReply.OK
}
