package agent

import (
	"slices"
	"time"

	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/transport"
)

const (
	maxCounterCalls = 256 // in flight; further ones are answered at once, as by a node that is not the owner
	// counterTimeout bounds a counter call at each of maxCounterAttempts owners: a proxy waits for little more than
	// all.
	counterTimeout     = 160 * time.Millisecond
	maxCounterAttempts = 2
)

// handleCounterCall takes a counter call of a proxy. The answer is sent once the owner has given one.
func (a *Agent) handleCounterCall(conn *transport.Conn, call *transport.Frame) *transport.Frame {
	if call.CounterAdd == nil || call.Call == 0 {
		return nil
	}
	select {
	case a.counterSlots <- struct{}{}:
	default:
		return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
	}
	go func() {
		defer func() { <-a.counterSlots }()
		total := a.forwardToOwner(call.CounterAdd)
		_ = conn.Send(&transport.Frame{Call: call.Call, CounterTotal: total}) // the proxy may have disconnected
	}()
	return nil
}

// forwardToOwner forwards a report to the owner of its counter among the live control nodes, or to the next one where
// that does not answer for it.
func (a *Agent) forwardToOwner(report *transport.CounterAdd) *transport.CounterTotal {
	a.counterCalls.Add(1)
	live, sources := a.view().live, *a.sources.Load()
	for attempt := 0; attempt < maxCounterAttempts && len(live) > 0; attempt++ {
		owner := quota.Owner(report.Name, live)
		live = slices.DeleteFunc(live, func(addr string) bool { return addr == owner })
		index := slices.IndexFunc(sources, func(src *source) bool { return src.addr == owner })
		if index < 0 {
			continue // the sources have just changed
		}
		answer, err := sources[index].client.Call(counterTimeout, &transport.Frame{CounterAdd: report})
		if err != nil || answer.CounterTotal == nil {
			continue
		}
		// An owner that is not sure yet to have the reports of all has still taken this one.
		if total := answer.CounterTotal; total.OK || total.Reporters > 0 {
			return total
		}
	}
	a.counterCallFailures.Add(1)
	return &transport.CounterTotal{}
}
