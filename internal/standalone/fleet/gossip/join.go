package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	joinInterval   = 2 * time.Second
	stateExchanges = 2 // of the complete state after joining, joinInterval apart
)

// joinMembers joins the fleet while no other member is known to be alive, by the seeds of the configuration and the
// members of the record. Afterwards it exchanges the complete state a few times: memberlist passes on what a new member
// says as often as the fleet is large by then, so if all join at once some receive too little, and would wait for the
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

// joinAddrs returns the addresses of the seeds and of known members, without this one's own.
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

// join exchanges the complete state with the members at some addresses. Without any address this member is
// the first one.
func (f *Fleet) join(i *instance, addrs []string) {
	contacted, err := i.memberlist.Join(addrs)
	if contacted > 0 || len(addrs) == 0 {
		f.mu.Lock()
		f.joined = f.joined || f.instance.Load() == i
		f.mu.Unlock()
		f.protocolLog.resolve(joinFailure)
		return
	}
	if i.closed.Load() {
		return // the instance was shut down meanwhile
	}
	if f.protocolLog.fail(joinFailure) {
		level.Warn(f.log).Log("msg", "no address of the fleet answers; they are retried",
			"code", "fleet-alone", "error", err,
		)
	}
}
