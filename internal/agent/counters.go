package agent

import (
	"slices"
	"time"

	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/transport"
)

const (
	// maxCounterCalls bounds the counter calls in flight. Further calls are answered at once, in the same way as by a
	// node that is not the owner of the counter.
	maxCounterCalls = 256
	// counterTimeout bounds a counter call to each of maxCounterAttempts owners. The proxy waits only slightly longer
	// than both attempts take together.
	counterTimeout     = 160 * time.Millisecond
	maxCounterAttempts = 2 // the owner, then the node that would own the counter without the first one
)

// handleCounterCall forwards a counter call of a proxy in the background, and sends the answer when the owner has
// returned it.
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

// forwardToOwner forwards a report to the live control node that owns its counter. If that node does not answer or does
// not accept the report, forwardToOwner tries the node that would own the counter without that node.
func (a *Agent) forwardToOwner(report *transport.CounterAdd) *transport.CounterTotal {
	a.counterCalls.Add(1)
	live, sources := a.view().live, *a.sources.Load()
	for attempt := 0; attempt < maxCounterAttempts && len(live) > 0; attempt++ {
		owner := quota.Owner(report.Name, live)
		live = slices.DeleteFunc(live, func(addr string) bool { return addr == owner })
		index := slices.IndexFunc(sources, func(src *source) bool { return src.addr == owner })
		if index < 0 {
			continue // the sources have changed since the view was evaluated
		}
		answer, err := sources[index].client.Call(counterTimeout, &transport.Frame{CounterAdd: report})
		if err != nil || answer.CounterTotal == nil {
			continue
		}
		// An owner that may not have the reports of all ingresses yet has nevertheless accepted this one.
		if total := answer.CounterTotal; total.OK || total.Reporters > 0 {
			return total
		}
	}
	a.counterCallFailures.Add(1)
	return &transport.CounterTotal{}
}
