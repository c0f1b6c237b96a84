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
	// DepartureTimeout is how long a server's call waits until its departure is stored on enough disks. It is shorter
	// than the second that the server waits for the answer.
	DepartureTimeout = 800 * time.Millisecond

	maxPersisted = 4096 // instances that one request of another node may contain; a longer one is rejected
	minCopies    = 2    // disks that must store a departure before it is acknowledged, if there are that many voters
)

// Departures stores the departures of instances on enough disks that at least one copy is left after the loss of the
// tolerated number of machines.
type Departures struct {
	Registry *Registry
	Settings *settings.Settings
	Replica  *replica.Replica
	Peers    *peers.Set
	Disk     func() *storage.Store // returns nil until the disk has been read
}

// Persist merges departing instances that another node has sent, and returns true once they are on this node's disk. It
// returns false if they can't be stored within replica.SyncTimeout.
func (d *Departures) Persist(instances []registry.Instance) bool {
	disk := d.Disk()
	if len(instances) > maxPersisted || disk == nil {
		return false
	}
	d.Registry.Merge(instances)
	return replica.AwaitSync(d.Registry.PersistDepartures(disk, IDs(instances)...), 0)
}

// Replicate stores a departing instance on the disks of this node and of the voters. It returns true once the instance
// is on the required number of disks, and false if it can't be stored on that many before ctx ends.
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

// requiredCopies returns the number of disks that must store a departure: one more than may be lost, at least
// minCopies, and at most the number of voters if they are known.
func (d *Departures) requiredCopies(voters []string) int {
	required := max(minCopies, d.Settings.Tolerance.Machines+1)
	if voters != nil {
		required = min(required, len(voters))
	}
	return required
}

// requestCopies starts to store an instance on this node's disk and on the voters, or on all peers while the voters are
// unknown. Each of the pending requests sends one result: whether it has stored the instance.
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

// requestCopy asks a peer to store an instance, and reports whether it has done so.
func requestCopy(peer *peers.Peer, instance registry.Instance) bool {
	request := &transport.Frame{PersistRequest: &transport.PersistRequest{Instances: []registry.Instance{instance}}}
	answer, err := peer.Call(DepartureTimeout, request)
	return err == nil && answer.PersistReply != nil && answer.PersistReply.OK
}
