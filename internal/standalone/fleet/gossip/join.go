package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	joinInterval   = 2 * time.Second // between two attempts to join, or two exchanges of the complete state
	stateExchanges = 2               // exchanges of the complete state after joining
)

// joinMembers joins the fleet through the configured seeds and the members of the last agreed membership. It repeats
// this until it succeeds, and whenever no other member is known to be alive. Then it exchanges the complete state
// stateExchanges times. memberlist retransmits the metadata of a new member a number of times that depends on the
// fleet's size at that moment, so if all members join at once, some miss updates and would otherwise wait for the
// protocol's next exchange.
func (f *Fleet) joinMembers() {
	i := f.instance.Load()
	if i == nil {
		return
	}
	f.mu.Lock()
	isolated := !f.joined || f.view.Isolated()
	due := (isolated || f.exchangesDone < stateExchanges) && time.Now().After(f.nextJoinAt)
	var known []membership.Member
	if due {
		f.nextJoinAt = time.Now().Add(joinInterval)
		known = f.view.AgreedMembers()
		if !isolated {
			f.exchangesDone++
		}
	}
	f.mu.Unlock()
	switch {
	case !due:
	case isolated:
		addrs := f.joinAddrs(known)
		f.spawn(func() { f.join(i, addrs) })
	default:
		if members := i.memberlist.Members(); len(members) > 1 {
			addr := members[rand.IntN(len(members))].Address()
			f.spawn(func() { i.memberlist.Join([]string{addr}) })
		}
	}
}

// joinAddrs returns the addresses of the seeds and of the known members, without the address of this member.
func (f *Fleet) joinAddrs(known []membership.Member) (addrs []string) {
	self := f.Self().Addr
	for _, addr := range f.options.Join {
		if addr != self {
			addrs = append(addrs, addr)
		}
	}
	for _, m := range known {
		if m.Addr != "" && m.Addr != self {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// join exchanges the complete state with the members at the given addresses. Without an address, this member counts
// as joined, because it is the first one.
func (f *Fleet) join(i *instance, addrs []string) {
	contacted, err := i.memberlist.Join(addrs)
	if contacted > 0 || len(addrs) == 0 {
		f.mu.Lock()
		f.joined = f.joined || f.instance.Load() == i
		f.mu.Unlock()
		f.protocolLog.clearFailure(joinFailure)
		return
	}
	if i.closed.Load() {
		return // the instance was shut down during the call
	}
	if f.protocolLog.recordFailure(joinFailure) {
		level.Warn(f.log).Log("msg", "no address of the fleet answers; they are retried",
			"code", "fleet-alone", "error", err,
		)
	}
}
