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

// Streams of random numbers, derived from the seed of a run. Streams from firstClassStream on are those of the request
// classes; servers have the seed with their serial number.
const (
	clusterStream    = 0
	operatorStream   = 1
	firstClassStream = 2
	canaryStream     = 98
	startupStream    = 99
)

// Streams of random numbers, derived from a number that is drawn for each request.
const (
	requestStream       = 1
	canaryRequestStream = 2
)

// cluster is the state of one run.
type cluster struct {
	options      Options
	launcher     *launcher
	linkFaults   bool // the schedule has faults that cut links
	serving      bool // for people: see Serve
	ports        ports
	core         []*machine
	edge         []*machine
	recorder     recorder
	startedAt    time.Time
	trafficStart invariants.Seconds

	lifetime   context.Context // ends when the run is over
	traffic    context.Context // ends with the traffic, before lifetime
	background sync.WaitGroup  // servers and the platform; they end with lifetime
	clients    sync.WaitGroup  // they end with traffic
	faultRuns  sync.WaitGroup  // they end with traffic

	httpClient *http.Client // for calls of servers, the operator and the platform
	operator   *operator
	services   map[string]serviceSpec
	classes    []*requestClass
	tenants    []*tenant
	users      []*clientUser

	serial           atomic.Int64 // of servers and their responses
	inFlight         atomic.Int64 // requests of clients
	healthChecks     atomic.Int64 // that servers received
	hotTenant        atomic.Pointer[tenant]
	lastAcknowledger atomic.Pointer[machine] // the core node that acknowledged a change last
	changeLatencies  latencies
	finished         [Failed + 1]atomic.Int64 // requests of clients, by Outcome
	lastFault        atomic.Pointer[Fault]    // that was injected

	mu         sync.Mutex // guards the fields below and the links of all machines
	rng        *rand.Rand
	servers    []*server
	edgeHealth []edgeHealth // by the index in edge
	live       map[*requestClass][]*route
	canaries   []canary
	ownAnswers map[string]int // answers that the system gave itself, by status and text
	diskLost   *machine       // whose disk was lost last
	diskLostAt invariants.Seconds
}

// newCluster returns a cluster with no machines yet. The options are complete.
func newCluster(o Options, transport http.RoundTripper) *cluster {
	cl := &cluster{
		options:    o,
		startedAt:  time.Now(),
		rng:        rand.New(rand.NewPCG(o.Seed, clusterStream)),
		live:       map[*requestClass][]*route{},
		ownAnswers: map[string]int{},
		httpClient: &http.Client{Transport: transport, CheckRedirect: limitRedirects},
	}
	cl.recorder.log.Closing = invariants.Never
	cl.linkFaults = slices.ContainsFunc(o.Faults, Fault.cutsLinks)
	cl.operator = newOperator(cl)
	return cl
}

// maxRedirects is how many times one call of a server or an operator follows a redirect.
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

// liveRoutes returns the routes that clients send requests of a class to.
func (cl *cluster) liveRoutes(c *requestClass) []*route {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.live[c])
}

// sleep waits for a time, or until the run is over.
func (cl *cluster) sleep(d time.Duration) { sleepContext(cl.lifetime, d) }

// sleepInTraffic waits for a time, or until the traffic ends; running tells whether it goes on.
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

// machineName returns the name of the machine with an address; the address where there is none.
func (cl *cluster) machineName(ip string) string {
	for _, m := range cl.machines() {
		if m.ip == ip {
			return m.name
		}
	}
	return ip
}

// processLogs returns the end of each process's log.
func (cl *cluster) processLogs() string {
	var b strings.Builder
	for _, m := range cl.machines() {
		for _, p := range m.processes {
			fmt.Fprintf(&b, "--- %s on %s\n%s\n", p.program, m.name, p.logTail())
		}
	}
	return b.String()
}
