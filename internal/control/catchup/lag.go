package catchup

import (
	"time"

	"mulleinrouter/internal/control/peers"
)

// MaxLag is how long a newer snapshot may be known elsewhere before this node lags.
const MaxLag = time.Second

// Lag is the newest snapshot that another node was known to have, and since when one was newer than that here.
// The zero value is ready for use, by one goroutine.
type Lag struct {
	newestEpoch uint64
	since       time.Time
}

// Update takes a look at the peers, and tells whether a snapshot that one of them has had for more than MaxLag
// is still newer than that of the epoch here.
func (l *Lag) Update(now time.Time, epoch uint64, p *peers.Set) (lagging bool) {
	if l.newestEpoch <= epoch { // what was looked for is here: look for what is newest now
		*l = Lag{newestEpoch: p.NewestEpoch(0), since: now}
	}
	return l.newestEpoch > epoch && now.Sub(l.since) > MaxLag
}

// NewestEpoch is the epoch that the last Update looked for.
func (l *Lag) NewestEpoch() uint64 { return l.newestEpoch }
