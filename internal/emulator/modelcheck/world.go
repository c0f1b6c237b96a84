package modelcheck

import (
	"fmt"
	"strings"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// Limits in the settings of the world. Times are in seconds.
const (
	latencyTarget   = 1.0
	requestDeadline = 3.0  // time from the submission of a request
	answerSlack     = 0.05 // time by which an answer may miss its deadline
	drainGrace      = 0.25 // time after a server is listed as draining in which a begun request may still be sent
	maxAttempts     = 4    // attempts of one request
	maxConnections  = 4    // open connections of the pool

	// tolerance is the allowance for rounding errors of times, in seconds.
	tolerance = 1e-9
)

const (
	customer  = "m"    // of all requests
	classRead = "read" // idempotent
	classSend = "send" // non-idempotent

	// initialTime is the time on the world's clock at the start, in seconds.
	initialTime = 1000.0
	// idleBefore is the time for which the connection of Config.IdleConnection has been idle, in seconds. It is long
	// enough for the last byte of the next request on it to be delayed.
	idleBefore = 2.0
)

// world is the simulated environment of one run: its state, and the violations found so far.
type world struct {
	config      Config
	now         decision.Seconds
	dispatcher  *attempt.Dispatcher[*client]
	idlePool    *upstreamconn.IdlePool[*connection]
	lossHistory upstreamconn.LossHistory
	servers     []*server // in the order of the endpoint list; removed ones stay, because the checks need them
	clients     []*client
	violations  []Violation
	steps       int

	timers       []decision.SetTimer
	counterCalls []string         // names of the unanswered calls, the oldest first
	counterTotal float64          // total of the quota counter, in units
	effects      []attempt.Effect // effects that are still to be carried out
	applying     bool             // whether effects are being carried out

	draining        bool
	attemptsAborted bool // the drain has ended, and attempts are cancelled as they begin
	planIndex       int  // index of the customer's plan in plans
}

// plans lists the two plans between which the customer changes.
var plans = []decision.Plan{
	{Name: "small", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1},
	{Name: "large", Rate: 1000, Burst: 1000, ValueWeight: 1, ExcessCost: 1},
}

// newWorld returns a world whose first requests have been submitted.
func newWorld(config Config) *world {
	settings := worldSettings()
	limit := maxConnections
	if config.OneConnection {
		limit = 1
	}
	w := &world{
		config:     config,
		now:        initialTime,
		dispatcher: attempt.NewDispatcher[*client](decision.New(settings, 1), &settings),
		idlePool:   upstreamconn.NewIdlePool[*connection](limit),
	}
	w.applyEffects(w.dispatcher.Handle(w.now, decision.Start{}))
	for i := range config.Servers {
		w.servers = append(w.servers, &server{
			id:      fmt.Sprint("s", i+1),
			address: fmt.Sprint("a", i+1),
			listed:  true,
			serving: true,
		})
	}
	w.updateBackends()
	if config.IdleConnection {
		w.addIdleConnection(w.servers[0])
	}
	w.submitRequest(clientRequest{atMostOnce: config.AtMostOnce[0], streamed: config.StreamedBody})
	if config.TwoRequests {
		w.submitRequest(clientRequest{atMostOnce: config.AtMostOnce[1]})
	}
	return w
}

func worldSettings() decision.Settings {
	return decision.Settings{
		Gateways:       3,
		MaxAttempts:    maxAttempts,
		MayCancel:      true,
		MayRetryAfter:  true,
		MaxRetryAfter:  1,
		HasCounter:     true,
		CounterTimeout: 0.05,
		MaxUnits:       1,
		DrainGrace:     drainGrace,
		AnswerSlack:    answerSlack,
		SlowStartShare: 0.2,
		SlowStartTime:  10,
		OverloadFactor: 2,
		OverloadFor:    1,
		Classes: []decision.Class{
			{
				Name:              classRead,
				LatencyTarget:     latencyTarget,
				Deadline:          requestDeadline,
				Value:             1,
				LateValue:         0.2,
				SlowAttemptFactor: 1,
				Effect:            decision.Idempotent,
			},
			{
				Name:          classSend,
				LatencyTarget: latencyTarget,
				Deadline:      requestDeadline,
				Value:         1,
				LateValue:     0.2,
			},
		},
		Plans: plans,
	}
}

// addIdleConnection adds to the pool a connection that carried one request idleBefore seconds ago.
func (w *world) addIdleConnection(s *server) {
	conn := &connection{server: s, address: s.address}
	w.idlePool.Reserve()
	w.checkLegal(conn.Begin())
	w.checkLegal(conn.Written())
	conn.Answered(upstreamconn.Answer{Status: 200}, false)
	conn.answeredAt = w.now
	w.idlePool.Put(s.id, conn, w.now)
	w.now += idleBefore
}

// stateKey describes the state as far as the properties depend on it. Result.States counts the different keys.
func (w *world) stateKey() string {
	var key strings.Builder
	for _, c := range w.clients {
		machine := c.request.Machine()
		fmt.Fprintf(&key, "%v%d", machine.Phase(), machine.Attempts())
		fmt.Fprintf(&key, "%v%v%d", c.disconnected, c.status, c.possibleExecutions)
		if pending := c.attempt; pending != nil {
			fmt.Fprintf(&key, "/%s%d%v", pending.backend, pending.stage, pending.cancelled)
		}
		if c.stream != nil {
			key.WriteByte('~')
		}
		key.WriteByte(' ')
	}
	for _, s := range w.servers {
		fmt.Fprintf(&key, "%s%v%v%v%d ", s.address, s.listed, s.serving, s.down, w.idlePool.Idle(s.id))
	}
	fmt.Fprintf(&key, "%d%v%v%d", len(w.counterCalls), w.draining, w.attemptsAborted, w.planIndex)
	return key.String()
}
