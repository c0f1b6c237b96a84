package proxy

import (
	"time"

	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/decision"
)

const (
	counterTimeout  = 350 * time.Millisecond // for a call of a counter's owner, by way of the agent
	maxCounterCalls = 256                    // in flight; further ones would be late anyway
)

// Add is never called: the proxy's counters are pairs of sum and reporters.
func (cf *controlFeed) Add(name string, _ float64, _ decision.Seconds) {
	cf.engine.PairCounterReplied(name, decision.ConnectionRefused, 0, 0)
}

// Call carries out a counter call of the decision module, and passes on its outcome.
func (cf *controlFeed) Call(call decision.CounterCall) {
	if cf.calls.Add(1) > maxCounterCalls {
		cf.calls.Add(-1)
		go cf.engine.PairCounterReplied(call.Name, decision.Rejected, 0, 0)
		return
	}
	report := &transport.CounterAdd{
		Name:       call.Customer,
		Cycle:      call.Cycle,
		Reporter:   cf.node,
		Amount:     call.Add,
		ReadOnly:   call.Add == 0,
		Retention:  call.Retention,
		PerRequest: call.PerRequest,
	}
	if call.PerRequest {
		report.Serial = cf.nextSerial.Add(1)
		report.Reporter = cf.process
	}
	go func() {
		defer cf.calls.Add(-1)
		cf.sendReport(call.Name, report)
	}()
}

// sendReport sends a report to the owner of its counter, and passes on the answer for the call of that name.
func (cf *controlFeed) sendReport(call string, report *transport.CounterAdd) {
	answer, err := cf.agent.Call(counterTimeout, &transport.Frame{CounterAdd: report})
	if err != nil {
		cf.engine.PairCounterReplied(call, decision.TimedOut, 0, 0)
		return
	}
	total := answer.CounterTotal
	switch {
	case total == nil:
		cf.engine.PairCounterReplied(call, decision.Failed, 0, 0)
	case !total.OK: // with reporters: an owner that is not sure yet to have the reports of all has taken this one
		cf.engine.PairCounterReplied(call, decision.Failed, 0, total.Reporters)
	default:
		cf.engine.PairCounterReplied(call, decision.Succeeded, total.Sum, total.Reporters)
	}
}
