package proxy

import (
	"time"

	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/decision"
)

const (
	// counterTimeout is the timeout of a call to a counter's owner through the agent. It is slightly longer than the
	// agent's two attempts of 160 ms each.
	counterTimeout  = 350 * time.Millisecond
	maxCounterCalls = 256 // in flight; further calls would not be answered in time anyway
)

// Add is never called, because the counters of the proxy are pairs of a sum and a number of reporters.
func (cf *controlFeed) Add(name string, _ float64, _ decision.Seconds) {
	cf.engine.PairCounterReplied(name, decision.ConnectionRefused, 0, 0)
}

// Call performs a counter call for the decision module in the background and reports the outcome to the engine.
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
		report.Reporter = cf.processReporter
	}
	go func() {
		defer cf.calls.Add(-1)
		cf.sendReport(call.Name, report)
	}()
}

// sendReport sends a report to the owner of its counter and passes the answer to the engine, as that of the named call.
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
	case !total.OK: // partial if Reporters > 0
		cf.engine.PairCounterReplied(call, decision.Failed, total.Sum, total.Reporters)
	default:
		cf.engine.PairCounterReplied(call, decision.Succeeded, total.Sum, total.Reporters)
	}
}
