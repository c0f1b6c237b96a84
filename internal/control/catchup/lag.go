package catchup

import (
	"time"

	"mulleinrouter/internal/control/peers"
)

// MaxLag is how long another node may have a newer snapshot before this node counts as lagging. Shorter
// delays, such as the transfer of a change, do not make it lag.
const MaxLag = time.Second

// Lag records the newest snapshot that another node is known to have, and the time since which it has been newer than
// the local one. The zero value is ready for use. A Lag is not safe for concurrent use.
type Lag struct {
	newestEpoch uint64
	since       time.Time
}

// Update compares the local epoch with those of the peers, and reports whether the local node still does not
// have a snapshot that a peer has had for more than MaxLag.
func (l *Lag) Update(now time.Time, epoch uint64, p *peers.Set) (lagging bool) {
	if l.newestEpoch <= epoch { // caught up with newestEpoch: compare with the newest epoch from now on
		*l = Lag{newestEpoch: p.NewestEpoch(0), since: now}
	}
	return l.newestEpoch > epoch && now.Sub(l.since) > MaxLag
}

// NewestEpoch returns the epoch with which the last Update compared the local one.
func (l *Lag) NewestEpoch() uint64 { return l.newestEpoch }
