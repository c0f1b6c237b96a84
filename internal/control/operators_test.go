package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
)

// Random operators: up to eight operators send changes concurrently to three real nodes in simulated time. They lose
// answers and repeat calls at once or late, at other nodes and in other JSON spellings. They also send two contents
// under one version, invalid changes and old versions. Nodes are partitioned and lose power or disks, and disks stall.
// The answers are checked against a simple model: the changes that were acknowledged, those that were rejected, and all
// contents that any replica ever had.

// itemVersion is a version of an item with its content.
type itemVersion struct {
	key     configuration.Key
	version int
	content string // "dropped", the maxConns of a service, or the host and service of a route
}

type versionID struct {
	key     configuration.Key
	version int
}

func (s itemVersion) id() versionID { return versionID{s.key, s.version} }

func serviceKey(name string) configuration.Key {
	return configuration.Key{Kind: configuration.Services, Name: name}
}

// routeKey returns the key of the nth route of the random operators.
func routeKey(n int) configuration.Key {
	return configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("n", n)}
}

// operatorCall is a change that an operator sends, possibly many times.
type operatorCall struct {
	items        []itemVersion
	defect       string // why the change is invalid in any configuration; empty if it has no defect
	acknowledged bool
	rejected     bool
	sending      bool
}

// maxHistory is the number of overtaken versions in an item's history (configuration.Item).
const maxHistory = 16

// isForgotten reports whether more than maxHistory higher versions of the item were applied, so that the item's history
// may not contain this version any more.
func (m *model) isForgotten(s itemVersion) bool {
	higher := map[int]bool{}
	for v := range m.overtaken {
		if v.key == s.key && v.version > s.version {
			higher[v.version] = true
		}
	}
	for v := range m.seen {
		if v.key == s.key && v.version > s.version {
			higher[v.version] = true
		}
	}
	for v := range m.acknowledged {
		if v.key == s.key && v.version > s.version {
			higher[v.version] = true
		}
	}
	return len(higher) > maxHistory
}

// model is a simple reference model of the configuration.
type model struct {
	modelMu             sync.Mutex
	calls               []*operatorCall
	acknowledged        map[versionID]string
	seen                map[versionID]string // contents that any replica had at any time
	overtaken           map[versionID]bool   // versions that were overtaken on any replica
	crashed             map[*testNode]bool
	faultFreeSince      time.Time // end of the last fault; zero while there is a fault
	failure             string
	counts              map[string]int
	maxLatency          time.Duration
	maxFaultFreeLatency time.Duration
}

func (m *model) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

// observe records the contents of a replica, and checks that no version ever has two contents.
func (m *model) observe(snapshot *configuration.Snapshot) {
	for i := range snapshot.All() {
		s := itemVersion{i.Key, int(i.Version), contentOf(i)}
		if old, ok := m.seen[s.id()]; ok && old != s.content {
			m.fail("%v is stored as %q and as %q", s.id(), old, s.content)
		}
		m.seen[s.id()] = s.content
		if i.History != nil {
			for _, p := range *i.History {
				m.overtaken[versionID{i.Key, int(p.Version)}] = true
			}
		}
	}
}

func contentOf(i configuration.Item) string {
	if i.Deleted {
		return "dropped"
	}
	var b struct {
		Authority, Backend string
		MaxConns           float64
	}
	if err := json.Unmarshal(i.Body, &b); err != nil {
		return err.Error()
	}
	if i.Key.Kind == configuration.Services {
		return fmt.Sprint(b.MaxConns)
	}
	return b.Authority + " " + b.Backend
}

// recordAnswer records and checks an answer to a call. acknowledgedBefore is whether the change had been acknowledged
// before the call began, faultFree whether there was no fault during the call.
func (m *model) recordAnswer(c *operatorCall, acknowledgedBefore bool, status int, took time.Duration, faultFree bool) {
	m.counts[fmt.Sprint(status)]++
	m.maxLatency = max(m.maxLatency, took)
	if took > time.Second {
		m.fail("an answer after %v", took)
	}
	if faultFree {
		m.maxFaultFreeLatency = max(m.maxFaultFreeLatency, took)
		if status == 503 {
			m.fail("no clear answer without a fault: %v", c.items)
		}
	}
	switch {
	case status == 200:
		c.acknowledged = true
		if c.defect != "" && !slices.ContainsFunc(c.items, m.isForgotten) || c.rejected {
			m.fail("%v is acknowledged: %q, rejected before: %v", c.items, c.defect, c.rejected)
		}
		for _, s := range c.items {
			old, twice := m.acknowledged[s.id()]
			if stored, ok := m.seen[s.id()]; (ok && stored != s.content || twice && old != s.content) &&
				!m.isForgotten(s) {
				m.fail("%v is acknowledged as %q, and was as %q; stored: %q", s.id(), s.content, old, stored)
			}
			m.acknowledged[s.id()] = s.content
		}
	case status >= 400 && status < 500:
		if acknowledgedBefore {
			m.fail("%v was acknowledged, and is rejected with %d", c.items, status)
		}
		c.rejected = true
	case status != 503:
		m.fail("status %d", status)
	}
}

// simulation runs the nodes and the operators of a seed.
type simulation struct {
	*testCluster
	model
	faults   *rand.Rand // source of random faults
	seed     uint64
	finished bool
}

func (s *simulation) stopped() bool {
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	return s.finished || s.failure != ""
}

// node returns the current process of a node, or nil if the node is down.
func (s *simulation) node(addr string) *testNode {
	s.mu.Lock()
	n := s.nodes[addr]
	s.mu.Unlock()
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	if s.crashed[n] {
		return nil
	}
	return n
}

// observeNodes records the contents of the replicas of all running nodes.
func (s *simulation) observeNodes() {
	for _, a := range s.seeds {
		if n := s.node(a); n != nil {
			_, snapshot := n.replica.Snapshot()
			s.modelMu.Lock()
			s.observe(snapshot)
			s.modelMu.Unlock()
		}
	}
}

// body encodes the change as JSON in one of many equivalent spellings, or with its defect.
func (c *operatorCall) body(random *rand.Rand) string {
	up, down := map[string][]string{}, map[string][]string{}
	member := func(all ...string) string {
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return "{" + strings.Join(all, []string{",", ", ", "\n,"}[random.IntN(3)]) + "}"
	}
	hex := func(v int) string {
		return fmt.Sprintf([]string{`"generation":"%08x"`, `"generation":"%08X"`}[random.IntN(2)], v)
	}
	number := func(n any) string { return fmt.Sprint(n) + []string{"", "", ".0", "e0"}[random.IntN(4)] }
	for n, s := range c.items {
		section := s.key.Kind.String()
		name := fmt.Sprintf("%q", s.key.Name)
		switch {
		case s.content == "dropped":
			down[section] = append(down[section], member(`"name":`+name, hex(s.version)))
		case s.key.Kind == configuration.Services:
			up[section] = append(up[section], name+":"+member(
				`"healthPath":"/health"`, `"maxConns":`+number(s.content), `"protocol":"h1"`, hex(s.version)))
		default:
			host, to, _ := strings.Cut(s.content, " ")
			deadline, kind := number(1000), "idempotent"
			if n == 0 && c.defect == "no_timeout" {
				deadline = number(0)
			}
			if n == 0 && c.defect == "kind" {
				kind = "often"
			}
			up[section] = append(up[section], name+":"+member(
				`"authority":"`+host+`"`, `"pathPrefix":"/a/"`, `"routeKind":"`+kind+`"`, `"deadlineMs":`+deadline,
				`"backend":"`+to+`"`, `"maxTries":`+number(2), hex(s.version)))
		}
	}
	var ups, downs []string
	for section, all := range up {
		ups = append(ups, `"`+section+`":`+member(all...))
	}
	for section, all := range down {
		downs = append(downs, `"`+section+`":[`+strings.Join(all, ",")+"]")
	}
	text := member(`"upsert":`+member(ups...), `"remove":`+member(downs...))
	if c.defect == "cut_short" {
		text = text[:random.IntN(len(text)-1)+1]
	}
	return text
}

// nextCall returns the next call of an operator: a new call, or an earlier one again.
func (s *simulation) nextCall(random *rand.Rand) *operatorCall {
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	earlier := func(ok func(*operatorCall) bool) *operatorCall {
		for range 8 {
			if call := s.calls[max(0, len(s.calls)-1-random.IntN(40))]; ok(call) {
				return call
			}
		}
		return nil
	}
	// Repeat an earlier call that was acknowledged, or one that was neither acknowledged nor rejected.
	if random.IntN(4) == 0 {
		repeatable := func(call *operatorCall) bool { return !call.rejected && (call.acknowledged || !call.sending) }
		if call := earlier(repeatable); call != nil {
			return call
		}
	}
	call := &operatorCall{}
	high := len(s.calls) + 1
	key := func(kind configuration.Kind, most int) configuration.Key {
		return configuration.Key{Kind: kind, Name: fmt.Sprint("n", random.IntN(most))}
	}
	service := func() string { return fmt.Sprint("n", random.IntN(3)) }
	toRoute := func(v int) itemVersion {
		if random.IntN(4) == 0 {
			return itemVersion{key(configuration.Routes, 4), v, "dropped"}
		}
		return itemVersion{key(configuration.Routes, 4), v, fmt.Sprintf("h%d %s", random.IntN(5), service())}
	}
	toService := func(v int) itemVersion {
		if random.IntN(3) == 0 {
			return itemVersion{key(configuration.Services, 3), v, "dropped"}
		}
		return itemVersion{key(configuration.Services, 3), v, fmt.Sprint(100 + random.IntN(50))}
	}
	v := high
	switch random.IntN(12) {
	case 0, 1: // the versions of an earlier change, mostly with other contents
		if x := earlier(func(call *operatorCall) bool { return call.defect == "" && len(call.items) < 9 }); x != nil {
			for _, s := range x.items {
				if s.key.Kind == configuration.Services {
					s.content = toService(0).content
				} else {
					s.content = toRoute(0).content
				}
				call.items = append(call.items, s)
			}
			break
		}
		fallthrough
	case 2: // an old version, whether it was used before or not
		v = max(1, high-random.IntN(30))
		fallthrough
	case 3, 4, 5, 6:
		for range 1 + random.IntN(3) {
			call.items = append(call.items, toRoute(v))
		}
	case 7, 8:
		call.items = append(call.items, toService(v))
	case 9: // moves all routes to another service, and removes the old one
		from, to := service(), service()
		for n := range 4 {
			call.items = append(call.items, itemVersion{routeKey(n), v, fmt.Sprintf("h%d %s", n, to)})
		}
		call.items = append(call.items, itemVersion{serviceKey(to), v, fmt.Sprint(100 + random.IntN(50))})
		if from != to {
			call.items = append(call.items, itemVersion{serviceKey(from), v, "dropped"})
		}
	case 10: // new services and routes to them
		call.items = append(call.items, toService(v), toService(v), toRoute(v), toRoute(v))
	case 11:
		call.defect = []string{"cut_short", "no_timeout", "kind", "unknown_service"}[random.IntN(4)]
		to := service()
		if call.defect == "unknown_service" {
			to = "nobody"
		}
		call.items = append(call.items, itemVersion{key(configuration.Routes, 4), v, "h0 " + to}, toRoute(v))
	}
	seen := map[configuration.Key]bool{}
	call.items = slices.DeleteFunc(call.items, func(s itemVersion) bool {
		twice := seen[s.key]
		seen[s.key] = true
		return twice
	})
	s.calls = append(s.calls, call)
	return call
}

// send sends a call once, and reports whether the answer was clear. If abandonAfter is not 0, the operator's connection
// breaks after that time.
func (s *simulation) send(random *rand.Rand, call *operatorCall, addr string, abandonAfter time.Duration) bool {
	n := s.node(addr)
	if n == nil {
		return false
	}
	s.modelMu.Lock()
	before := call.acknowledged
	s.modelMu.Unlock()
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if abandonAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, abandonAfter)
		defer cancel()
	}
	got := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, "PATCH", "/config", strings.NewReader(call.body(random)))
	n.api.HTTPServer().Handler.ServeHTTP(got, request)
	s.observeNodes()
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	if s.crashed[n] || ctx.Err() != nil || random.IntN(10) == 0 {
		s.counts["lost"]++
		return false
	}
	s.recordAnswer(call, before, got.Code, time.Since(began),
		!s.faultFreeSince.IsZero() && !began.Before(s.faultFreeSince))
	return got.Code != 503
}

// runOperator runs one operator until the simulation ends.
func (s *simulation) runOperator(random *rand.Rand) {
	for !s.stopped() {
		call := s.nextCall(random)
		s.modelMu.Lock()
		call.sending = true
		s.modelMu.Unlock()
		for attempt := range 1 + random.IntN(8) {
			addr := s.seeds[random.IntN(3)]
			abandonAfter := time.Duration(0)
			if random.IntN(5) == 0 {
				abandonAfter = time.Duration(1 + random.Int64N(int64(300*time.Millisecond)))
			}
			if s.send(random, call, addr, abandonAfter) || s.stopped() {
				break
			}
			pause := time.Duration(1+random.IntN(20)) * time.Millisecond
			if random.IntN(4) == 0 {
				pause *= time.Duration(1 + attempt*20)
			}
			time.Sleep(pause)
		}
		s.modelMu.Lock()
		call.sending = false
		s.modelMu.Unlock()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

func (s *simulation) crashNode(addr string) *vfs.MemFS {
	s.modelMu.Lock()
	s.crashed[s.nodes[addr]] = true
	s.modelMu.Unlock()
	return s.crash(addr)
}

func randomDuration(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

// injectFault causes a random fault, ends it, and checks that all nodes vote again.
func (s *simulation) injectFault() {
	s.modelMu.Lock()
	s.faultFreeSince = time.Time{}
	s.modelMu.Unlock()
	random, a := s.faults, s.seeds[s.faults.IntN(3)]
	switch random.IntN(6) {
	case 0:
		s.partition(a, true)
		time.Sleep(randomDuration(random, 3*time.Second))
		s.partition(a, false)
	case 1: // loss of power
		disk := s.crashNode(a)
		time.Sleep(randomDuration(random, time.Second))
		s.start(a, disk, false)
	case 2: // loss of the disk
		s.crashNode(a)
		time.Sleep(randomDuration(random, time.Second))
		s.start(a, vfs.NewCrashableMem(), false)
	case 3: // loss of power everywhere
		disks := map[string]*vfs.MemFS{}
		for _, a := range s.seeds {
			disks[a] = s.crashNode(a)
			if random.IntN(2) == 0 {
				time.Sleep(randomDuration(random, 5*time.Millisecond))
			}
		}
		for _, a := range s.seeds {
			s.start(a, disks[a], false)
			time.Sleep(randomDuration(random, 100*time.Millisecond))
		}
	case 4, 5: // disks stall for up to 600 ms; a node stops waiting for its disk after replica.SyncTimeout (500 ms)
		for range 3 {
			var stalled []*testNode
			for _, a := range s.seeds {
				if random.IntN(3) > 0 {
					stalled = append(stalled, s.nodes[a])
				}
			}
			for _, n := range stalled {
				n.stallingDisk.setStalled(true)
			}
			time.Sleep(randomDuration(random, 600*time.Millisecond))
			for _, n := range stalled {
				n.stallingDisk.setStalled(false)
			}
			time.Sleep(randomDuration(random, 300*time.Millisecond))
		}
	}
	time.Sleep(4 * time.Second)
	for _, a := range s.seeds {
		if _, votes := s.nodes[a].replica.Voters(); !votes {
			s.modelMu.Lock()
			s.fail("node %s does not vote four seconds after the fault", a)
			s.modelMu.Unlock()
		}
	}
}

// checkFinalState compares the final configuration with the model, and repeats the calls that were applied or invalid.
func (s *simulation) checkFinalState() {
	s.observeNodes()
	if difference := s.differences(); difference != "" {
		s.fail("%s", difference)
	}
	_, snapshot := s.nodes[s.seeds[0]].replica.Snapshot()
	for v, content := range s.acknowledged {
		i, ok := snapshot.Get(v.key)
		if !ok || int(i.Version) < v.version || int(i.Version) == v.version && contentOf(i) != content {
			s.fail("%v was acknowledged as %q, and there is %v", v, content, i)
		}
	}
	applied := func(o *operatorCall) bool {
		missing := func(v itemVersion) bool { return s.seen[v.id()] != v.content }
		return o.defect == "" && !slices.ContainsFunc(o.items, missing)
	}
	only := map[itemVersion]bool{} // whether the content was in a call that was not rejected
	for _, o := range s.calls {
		for _, v := range o.items {
			only[v] = only[v] || !o.rejected && o.defect == ""
		}
	}
	for v, content := range s.seen {
		if !only[itemVersion{v.key, v.version, content}] {
			s.fail("%v was rejected as %q, and was applied", v, content)
		}
	}
	for _, o := range s.calls {
		status := 0
		if !o.acknowledged && !applied(o) && o.defect == "" || len(o.items) == 0 {
			continue
		}
		status, _ = s.call(s.seeds[s.faults.IntN(3)], "PATCH", "/config", o.body(s.faults))
		if o.defect == "" && status != 200 ||
			o.defect != "" && status/100 != 4 && !slices.ContainsFunc(o.items, s.isForgotten) {
			s.fail("%v, %q, acknowledged: %v, got %d in the end", o.items, o.defect, o.acknowledged, status)
		}
		s.counts["again"]++
	}
}

// runOperators runs the simulation of a seed, and returns its model.
func runOperators(t *testing.T, seed uint64) *model {
	s := &simulation{seed: seed, faults: rand.New(rand.NewPCG(seed, 1))}
	s.acknowledged = map[versionID]string{}
	s.seen = map[versionID]string{}
	s.overtaken = map[versionID]bool{}
	s.crashed = map[*testNode]bool{}
	s.counts = map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		s.testCluster = newCluster(t, 3)
		advance(2 * time.Second)
		first := &operatorCall{}
		for n := range 3 {
			first.items = append(first.items, itemVersion{serviceKey(fmt.Sprint("n", n)), 1, "99"})
		}
		s.calls = append(s.calls, first)
		s.modelMu.Lock()
		s.faultFreeSince = time.Now()
		s.modelMu.Unlock()
		var all sync.WaitGroup
		for n := range 2 + seed%7 {
			all.Go(func() { s.runOperator(rand.New(rand.NewPCG(seed, 2+n))) })
		}
		for range 3 {
			time.Sleep(randomDuration(s.faults, 2*time.Second))
			s.injectFault()
			s.modelMu.Lock()
			s.faultFreeSince = time.Now()
			s.modelMu.Unlock()
		}
		time.Sleep(2 * time.Second)
		s.modelMu.Lock()
		s.finished = true
		s.modelMu.Unlock()
		all.Wait()
		advance(3 * time.Second)
		if s.failure == "" {
			s.checkFinalState()
		}
		s.stopAll()
	})
	return &s.model
}

// Guards against lost acknowledged changes, changes that are rejected and applied, and two contents of one version.
func TestRandomOperators(t *testing.T) {
	t.Parallel()
	total := &model{counts: map[string]int{}}
	var all sync.WaitGroup
	const workers = 4
	for worker := range uint64(workers) {
		all.Go(func() {
			for seed := worker; seed < operatorSeeds; seed += workers {
				r := runOperators(t, seed)
				total.modelMu.Lock()
				total.maxLatency = max(total.maxLatency, r.maxLatency)
				total.maxFaultFreeLatency = max(total.maxFaultFreeLatency, r.maxFaultFreeLatency)
				if r.failure != "" {
					t.Errorf("seed %d: %s", seed, r.failure)
				}
				for k, n := range r.counts {
					total.counts[k] += n
				}
				total.modelMu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d seeds: %v; slowest answer %v, without a fault %v",
		operatorSeeds, total.counts, total.maxLatency, total.maxFaultFreeLatency)
}

// scenarios are sequences of events that are rare in the random simulations. Each returns a description of the failure,
// or "" if there is none.
var scenarios = map[string]func(*testCluster) string{
	// The answer that completes a majority, which is that of the node's own disk, arrives after the caller has stopped
	// waiting. Then the node gets another change.
	"late majority": func(c *testCluster) string {
		if status := c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		// The round of watch that looks for orphaned changes must come after all events below.
		advance(100 * time.Millisecond)
		c.nodes[c.seeds[0]].stallingDisk.setStalled(true)
		c.nodes[c.seeds[2]].stallingDisk.setStalled(true)
		late, err := configuration.ReadPatch([]byte(patchBody([]string{serviceJSON("t", 2)}, nil)))
		c.NoErr(err)
		if err := c.nodes[c.seeds[0]].proposals.Change(context.Background(), late, 50*time.Millisecond); err == nil {
			return "acknowledged without a majority"
		}
		advance(270 * time.Millisecond)
		c.nodes[c.seeds[0]].stallingDisk.setStalled(false)
		c.nodes[c.seeds[2]].stallingDisk.setStalled(false)
		advance(10 * time.Millisecond)
		if status := c.patch(c.seeds[0], patchBody([]string{serviceJSON("u", 3)}, nil)); status != 200 {
			return fmt.Sprint("another: ", status)
		}
		advance(2 * time.Second)
		return c.differences()
	},
	// The node whose change was the last to be chosen is partitioned, and then gets a change that the others have
	// chosen meanwhile.
	"partitioned node": func(c *testCluster) string {
		if status := c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		c.partition(c.seeds[0], true)
		acknowledged := patchBody(nil, []string{routeJSON("r", "h", "t", 3)})
		for _, o := range []string{patchBody([]string{serviceJSON("t", 2)}, nil), acknowledged} {
			if status := c.patch(c.seeds[1], o); status != 200 {
				return fmt.Sprint("at the others: ", status)
			}
		}
		if status := c.patch(c.seeds[0], acknowledged); status != 503 {
			return fmt.Sprint("a chosen change, at the partitioned node: ", status)
		}
		c.partition(c.seeds[0], false)
		advance(3 * time.Second)
		if status := c.patch(c.seeds[0], acknowledged); status != 200 {
			return fmt.Sprint("afterwards: ", status)
		}
		return c.differences()
	},
	// All nodes repeatedly get different contents under one version at the same time. Exactly one of the contents is
	// acknowledged, and that one is applied.
	"concurrent changes": func(c *testCluster) string {
		for round := range 150 {
			var mu sync.Mutex
			var all sync.WaitGroup
			acknowledged := 0
			for n := range 3 {
				all.Go(func() {
					services := []string{serviceJSON(fmt.Sprint("x", n), round+1)}
					routes := []string{routeJSON("r", fmt.Sprint("h", n), "s", round+1)}
					status := c.patch(c.seeds[n], patchBody(services, routes))
					if round == 0 {
						status = c.patch(c.seeds[n], patchBody([]string{serviceJSON("s", 1)}, nil))
					}
					mu.Lock()
					defer mu.Unlock()
					if status == 200 {
						acknowledged = n + 1
					} else if status != 409 {
						acknowledged = -100
					}
				})
			}
			all.Wait()
			_, snapshot := c.nodes[c.seeds[round%3]].replica.Snapshot()
			item, _ := snapshot.Get(configuration.Key{Kind: configuration.Routes, Name: "r"})
			if round > 0 && contentOf(item) != fmt.Sprintf("h%d s", acknowledged-1) {
				return fmt.Sprintf("round %d: acknowledged to %d, and there is %v", round, acknowledged-1, item)
			}
		}
		return c.differences()
	},
	// While a node's change is in flight, another node's change under the same version is chosen.
	"foreign change chosen": func(c *testCluster) string {
		if status := c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		advance(10 * time.Millisecond) // after a round of watch
		c.partition(c.seeds[0], true)
		var waiting sync.WaitGroup
		status := 0
		waiting.Go(func() { status = c.patch(c.seeds[0], patchBody([]string{serviceJSON("t", 2)}, nil)) })
		advance(5 * time.Millisecond)
		foreign := strings.Replace(patchBody([]string{serviceJSON("t", 2)}, nil), "130", "131", 1)
		items, err := configuration.ReadPatch([]byte(foreign))
		c.NoErr(err)
		for _, a := range c.seeds[1:] {
			epoch, _ := c.nodes[a].replica.Snapshot()
			proposal := consensus.Proposal{
				Ballot: consensus.Ballot{Round: 50, Node: "a"},
				Epoch:  epoch + 1,
				Items:  items,
			}
			if accepted := c.nodes[a].replica.Accept(proposal, nil); accepted == nil || !accepted.OK {
				return "the foreign change is not accepted"
			}
		}
		c.partition(c.seeds[0], false)
		waiting.Wait()
		if status != 409 {
			return fmt.Sprint("under a version that was chosen: ", status)
		}
		return c.differences()
	},
	// A node that has accepted a change receives a message that another change was chosen for the same epoch.
	"chosen message for another change": func(c *testCluster) string {
		if status := c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		advance(10 * time.Millisecond) // until all nodes have learned the change
		v := c.nodes[c.seeds[2]].replica
		epoch, _ := v.Snapshot()
		items, err := configuration.ReadPatch([]byte(patchBody([]string{serviceJSON("t", 2)}, nil)))
		c.NoErr(err)
		pending := consensus.Proposal{Ballot: consensus.Ballot{Round: 50, Node: "a"}, Epoch: epoch + 1, Items: items}
		if a := v.Accept(pending, nil); a == nil || !a.OK || v.Learn(pending.Ballot.Next("b"), pending.Epoch) {
			return "it learned its own change for the other"
		}
		if status := c.patch(c.seeds[0], patchBody([]string{serviceJSON("u", 3)}, nil)); status != 200 {
			return fmt.Sprint("another: ", status)
		}
		advance(2 * time.Second)
		return c.differences()
	},
	// An operator's connection breaks and its change is rejected at another node. Then the service that the change
	// refers to is chosen, while the first node still has the change queued.
	"abandoned call": func(c *testCluster) string {
		if status := c.patch(c.seeds[1], patchBody([]string{serviceJSON("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		c.partition(c.seeds[0], true)
		change := patchBody(nil, []string{routeJSON("r", "h", "t", 3)})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		request := httptest.NewRequestWithContext(ctx, "PATCH", "/config", strings.NewReader(change))
		c.nodes[c.seeds[0]].api.HTTPServer().Handler.ServeHTTP(httptest.NewRecorder(), request)
		advance(5 * time.Millisecond)
		if status := c.patch(c.seeds[1], change); status != 400 {
			return fmt.Sprint("elsewhere: ", status)
		}
		if status := c.patch(c.seeds[1], patchBody([]string{serviceJSON("t", 2)}, nil)); status != 200 {
			return fmt.Sprint("the service: ", status)
		}
		c.partition(c.seeds[0], false)
		advance(3 * time.Second)
		_, snapshot := c.nodes[c.seeds[1]].replica.Snapshot()
		if strings.Contains(string(snapshot.RenderJSON()), "authority") {
			return "rejected, and applied"
		}
		return c.differences()
	},
}

// differences describes how the configurations that the nodes return differ. It returns "" if they are equal.
func (c *testCluster) differences() string {
	text := ""
	for _, a := range c.seeds {
		status, read := c.call(a, "GET", "/config", "")
		if status != 200 || text != "" && read != text {
			return fmt.Sprintf("node %s returns %d\n%s\nand another node\n%s", a, status, read, text)
		}
		text = read
	}
	return ""
}

func runScenario(t *testing.T, scenario func(*testCluster) string) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		advance(2 * time.Second)
		failure = scenario(c)
		for _, a := range c.seeds {
			c.partition(a, false)
		}
		c.stopAll()
	})
	return failure
}

func TestScenarios(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		t.Run(name, func(t *testing.T) {
			if failure := runScenario(t, scenarios[name]); failure != "" {
				t.Error(failure)
			}
		})
	}
}

// Three nodes propose changes concurrently without a pause and on slow disks, so that their ballots overtake one
// another. Every change and every read is still answered within 750 ms.
func TestProposersDoNotStarve(t *testing.T) {
	t.Parallel()
	for _, syncTime := range []time.Duration{0, 4 * time.Millisecond, 20 * time.Millisecond} {
		for _, operatorsEach := range []int{1, 4} {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				advance(2 * time.Second)
				c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
				end := time.Now().Add(starvationSeconds * time.Second)
				if syncTime == 0 {
					end = time.Now().Add(starvationSeconds * time.Second / 8) // as many changes as in the other runs
				}
				var all sync.WaitGroup
				for _, a := range c.seeds { // a sync waits until the end of the current stall
					all.Go(func() {
						for m := c.nodes[a]; syncTime > 0 && time.Now().Before(end); {
							m.stallingDisk.setStalled(true)
							time.Sleep(syncTime)
							m.stallingDisk.setStalled(false)
							time.Sleep(100 * time.Microsecond)
						}
					})
				}
				var mu sync.Mutex
				worst, count, unclear := map[string]time.Duration{}, map[string]int{}, 0
				record := func(what string, began time.Time, status int) {
					mu.Lock()
					defer mu.Unlock()
					worst[what], count[what] = max(worst[what], time.Since(began)), count[what]+1
					if status != 200 {
						unclear++
					}
				}
				for n, a := range c.seeds {
					operators := operatorsEach
					if n == 2 {
						operators = 1 // one operator at the third node, several at the others
					}
					for k := range operators {
						all.Go(func() {
							for v := 1; time.Now().Before(end); v++ {
								began := time.Now()
								change := patchBody([]string{serviceJSON(fmt.Sprintf("s%d-%d", n, k), v)}, nil)
								record(fmt.Sprint("changes at ", n), began, c.patch(a, change))
								time.Sleep(time.Millisecond)
							}
						})
					}
					all.Go(func() {
						for time.Now().Before(end) {
							began := time.Now()
							status, _ := c.call(a, "GET", "/config", "")
							record("reads", began, status)
							time.Sleep(50 * time.Millisecond)
						}
					})
				}
				all.Wait()
				t.Logf("syncs of %v, %d operators at each of two nodes, one at the third: %v, "+
					"at the worst %v, unclear: %d",
					syncTime, operatorsEach, count, worst, unclear)
				if unclear > 0 {
					t.Errorf("%d without a clear answer", unclear)
				}
				for what, w := range worst {
					if w > 750*time.Millisecond {
						t.Errorf("%s: %v", what, w)
					}
				}
				c.stopAll()
			})
		}
	}
}

// A call whose body stalls gets 408 and may be retried, because the content is unknown. A call whose body ends early is
// rejected with 400.
func TestIncompleteBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		advance(2 * time.Second)
		for err, want := range map[error]int{
			&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}: 408,
			io.ErrUnexpectedEOF: 400,
		} {
			got := httptest.NewRecorder()
			body := io.MultiReader(strings.NewReader(`{"upsert":`), iotest.ErrReader(err))
			c.nodes[c.seeds[0]].api.HTTPServer().Handler.ServeHTTP(got, httptest.NewRequest("PATCH", "/config", body))
			c.Equal(got.Code, want)
		}
		c.stopAll()
	})
}
