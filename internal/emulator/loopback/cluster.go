package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

// Identifiers of random number streams that are derived from the seed of a run. The request classes have consecutive
// streams that begin with firstClassStream. A server uses its serial number as the identifier, which may be equal to
// one of these.
const (
	clusterStream    = 0
	operatorStream   = 1
	firstClassStream = 2
	canaryStream     = 98
	startupStream    = 99
)

// Identifiers of random number streams that are derived from a number drawn for each request.
const (
	requestStream       = 1
	canaryRequestStream = 2
)

// cluster is the state of one run.
type cluster struct {
	options      Options
	launcher     *launcher
	linkFaults   bool // the schedule contains faults that cut links
	interactive  bool // set by Serve: the servers' responses are meant to be read by people
	ports        ports
	core         []*machine
	edge         []*machine
	recorder     recorder
	startedAt    time.Time
	trafficStart invariants.Seconds

	lifetime   context.Context // ends when the run is over
	traffic    context.Context // ends when the traffic ends, before lifetime
	background sync.WaitGroup  // goroutines of servers, processes and the platform, which end with lifetime
	clients    sync.WaitGroup  // goroutines of clients, which finish their requests after traffic has ended
	faultRuns  sync.WaitGroup  // goroutines that inject faults, some of which undo the fault after traffic has ended

	httpClient *http.Client // used by servers, the operator and the platform
	operator   *operator
	services   map[string]serviceSpec
	classes    []*requestClass
	tenants    []*tenant
	users      []*clientUser

	serial           atomic.Int64 // last serial number of a server or of a response
	inFlight         atomic.Int64 // number of requests of clients in progress, without canaries
	healthChecks     atomic.Int64 // number of health checks that servers received
	hotTenant        atomic.Pointer[tenant]
	lastAcknowledger atomic.Pointer[machine] // core node that acknowledged the latest change
	changeLatencies  latencies
	finished         [Failed + 1]atomic.Int64 // number of requests of clients that have ended, by Outcome
	lastFault        atomic.Pointer[Fault]    // last fault that was injected

	mu             sync.Mutex // guards the fields below and the links of all machines
	rng            *rand.Rand
	servers        []*server                  // all that were started, also those that have stopped
	edgeHealth     []edgeHealth               // by index in edge
	live           map[*requestClass][]*route // routes to which clients send requests
	canaries       []canary                   // in the order in which they were added
	gatewayAnswers map[string]int             // number of answers that the gateway itself generated, by status and text
	diskLost       *machine                   // machine that lost its disk last
	diskLostAt     invariants.Seconds
}

// newCluster returns a cluster without machines. The options must be complete.
func newCluster(o Options, transport http.RoundTripper) *cluster {
	cl := &cluster{
		options:        o,
		startedAt:      time.Now(),
		rng:            rand.New(rand.NewPCG(o.Seed, clusterStream)),
		live:           map[*requestClass][]*route{},
		gatewayAnswers: map[string]int{},
		httpClient:     &http.Client{Transport: transport, CheckRedirect: limitRedirects},
	}
	cl.recorder.log.Closing = invariants.Never
	cl.linkFaults = slices.ContainsFunc(o.Faults, Fault.cutsLinks)
	cl.operator = newOperator(cl)
	return cl
}

// maxRedirects is the maximum number of redirects that one call of a server or an operator follows.
const maxRedirects = 2

func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return http.ErrUseLastResponse
	}
	return nil
}

// machines returns all machines, core nodes first.
func (cl *cluster) machines() []*machine { return slices.Concat(cl.core, cl.edge) }

func (cl *cluster) now() invariants.Seconds { return cl.sinceStart(time.Now()) }

func (cl *cluster) sinceStart(t time.Time) invariants.Seconds { return t.Sub(cl.startedAt).Seconds() }

func (cl *cluster) gracePeriod() time.Duration { return seconds(cl.options.Bounds.Grace) }

// randStream returns a generator that depends only on the seed and the stream.
func (cl *cluster) randStream(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cl.options.Seed, stream))
}

func (cl *cluster) intn(n int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rng.IntN(n)
}

// liveRoutes returns the routes to which clients send requests of a class.
func (cl *cluster) liveRoutes(c *requestClass) []*route {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.live[c])
}

// sleep waits for a duration, or until the run is over.
func (cl *cluster) sleep(d time.Duration) { sleepContext(cl.lifetime, d) }

// sleepInTraffic waits for a duration, or until the traffic ends; running reports whether the traffic continues.
func (cl *cluster) sleepInTraffic(d time.Duration) (running bool) {
	sleepContext(cl.traffic, d)
	return cl.traffic.Err() == nil
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// machineName returns the name of the machine with an IP address, or the address itself if there is no such machine.
func (cl *cluster) machineName(ip string) string {
	for _, m := range cl.machines() {
		if m.ip == ip {
			return m.name
		}
	}
	return ip
}

// processLogs returns the last part of each process's log.
func (cl *cluster) processLogs() string {
	var b strings.Builder
	for _, m := range cl.machines() {
		for _, p := range m.processes {
			fmt.Fprintf(&b, "--- %s on %s\n%s\n", p.program, m.name, p.logTail())
		}
	}
	return b.String()
}
