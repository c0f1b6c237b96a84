package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// The orders: up to eight operators at once send to three real nodes in fake time, lose answers, send again at once, late, elsewhere and in
// other spellings, two things under one number, what is invalid and what is old; nodes are cut off, lose power and disks, their disks hang.
// Beside them stands a plain register: what was confirmed, what was refused, and what any copy ever held.

// said is one version of an item with what it says.
type said struct {
	key     configuration.Key
	version int
	what    string // "dropped", the maxConns of a service, or the host and the service of a route
}

type version struct {
	key     configuration.Key
	version int
}

func (s said) of() version { return version{s.key, s.version} }

type order struct {
	items     []said
	broken    string // what makes it invalid whatever stands; empty: nothing
	confirmed bool
	refused   bool
	sending   bool
}

// versionsKept is how many versions of an item that are overtaken are told apart (configuration.Past).
const versionsKept = 16

// forgotten tells whether so many higher versions were taken that nothing is known of one any more.
func (r *register) forgotten(s said) bool {
	higher := map[int]bool{}
	for v := range r.past {
		if v.key == s.key && v.version > s.version {
			higher[v.version] = true
		}
	}
	for v := range r.held {
		if v.key == s.key && v.version > s.version {
			higher[v.version] = true
		}
	}
	for v := range r.confirmed {
		if v.key == s.key && v.version > s.version {
			higher[v.version] = true
		}
	}
	return len(higher) > versionsKept
}

// register is the plain model.
type register struct {
	lock      sync.Mutex
	orders    []*order
	confirmed map[version]string
	held      map[version]string // by any copy, at any time
	past      map[version]bool   // that any copy knew to be overtaken
	dead      map[*machine]bool
	calm      time.Time // since when all is well; zero: it is not
	wrong     string
	counts    map[string]int
	slowest   time.Duration
	slowCalm  time.Duration
}

func (r *register) fail(format string, args ...any) {
	if r.wrong == "" {
		r.wrong = fmt.Sprintf(format, args...)
	}
}

// saw notes what copies hold: one version never says two things.
func (r *register) saw(book *configuration.Snapshot) {
	for i := range book.All() {
		s := said{i.Key, int(i.Version), whatSays(i)}
		if old, ok := r.held[s.of()]; ok && old != s.what {
			r.fail("%v is held as %q and as %q", s.of(), old, s.what)
		}
		r.held[s.of()] = s.what
		if i.History != nil {
			for _, p := range *i.History {
				r.past[version{i.Key, int(p.Version)}] = true
			}
		}
	}
}

func whatSays(i configuration.Item) string {
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

// answered notes an answer to a call that began when the order was confirmed already, or not.
func (r *register) answered(o *order, before bool, status int, took time.Duration, calm bool) {
	r.counts[fmt.Sprint(status)]++
	r.slowest = max(r.slowest, took)
	if took > time.Second {
		r.fail("an answer after %v", took)
	}
	if calm {
		r.slowCalm = max(r.slowCalm, took)
		if status == 503 {
			r.fail("no clear answer in a calm time: %v", o.items)
		}
	}
	switch {
	case status == 200:
		o.confirmed = true
		if o.broken != "" && !slices.ContainsFunc(o.items, r.forgotten) || o.refused {
			r.fail("%v is confirmed: %q, refused before: %v", o.items, o.broken, o.refused)
		}
		for _, s := range o.items {
			old, twice := r.confirmed[s.of()]
			if held, ok := r.held[s.of()]; (ok && held != s.what || twice && old != s.what) && !r.forgotten(s) {
				r.fail("%v is confirmed as %q, and was as %q; held: %q", s.of(), s.what, old, held)
			}
			r.confirmed[s.of()] = s.what
		}
	case status >= 400 && status < 500:
		if before {
			r.fail("%v was confirmed, and is refused with %d", o.items, status)
		}
		o.refused = true
	case status != 503:
		r.fail("status %d", status)
	}
}

// world is the nodes and the operators.
type world struct {
	*core
	register
	rnd  *rand.Rand // of what happens to nodes
	seed uint64
	over bool
}

func (w *world) stopped() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.over || w.wrong != ""
}

// machine is a node as it is now, nil if it is down.
func (w *world) machine(addr string) *machine {
	w.core.mu.Lock()
	m := w.nodes[addr]
	w.core.mu.Unlock()
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.dead[m] {
		return nil
	}
	return m
}

// look notes what the nodes that run hold.
func (w *world) look() {
	for _, a := range w.seeds {
		if m := w.machine(a); m != nil {
			_, book := m.replica.Snapshot()
			w.lock.Lock()
			w.saw(book)
			w.lock.Unlock()
		}
	}
}

// body writes an order, in a spelling of its own.
func (o *order) body(rnd *rand.Rand) string {
	up, down := map[string][]string{}, map[string][]string{}
	member := func(all ...string) string {
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return "{" + strings.Join(all, []string{",", ", ", "\n,"}[rnd.IntN(3)]) + "}"
	}
	hex := func(v int) string {
		return fmt.Sprintf([]string{`"generation":"%08x"`, `"generation":"%08X"`}[rnd.IntN(2)], v)
	}
	number := func(n any) string { return fmt.Sprint(n) + []string{"", "", ".0", "e0"}[rnd.IntN(4)] }
	for n, s := range o.items {
		section := s.key.Kind.String()
		name := fmt.Sprintf("%q", s.key.Name)
		switch {
		case s.what == "dropped":
			down[section] = append(down[section], member(`"name":`+name, hex(s.version)))
		case s.key.Kind == configuration.Services:
			up[section] = append(up[section], name+":"+member(`"healthPath":"/health"`, `"maxConns":`+number(s.what), `"protocol":"h1"`, hex(s.version)))
		default:
			host, to, _ := strings.Cut(s.what, " ")
			deadline, kind := number(1000), "idempotent"
			if n == 0 && o.broken == "no_timeout" {
				deadline = number(0)
			}
			if n == 0 && o.broken == "kind" {
				kind = "often"
			}
			up[section] = append(up[section], name+":"+member(`"authority":"`+host+`"`, `"pathPrefix":"/a/"`, `"routeKind":"`+kind+`"`, `"deadlineMs":`+deadline,
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
	if o.broken == "cut_short" {
		text = text[:rnd.IntN(len(text)-1)+1]
	}
	return text
}

// draw is the next order of an operator: a new one, or one that was sent before.
func (w *world) draw(rnd *rand.Rand) *order {
	w.lock.Lock()
	defer w.lock.Unlock()
	old := func(ok func(*order) bool) *order {
		for range 8 {
			if o := w.orders[max(0, len(w.orders)-1-rnd.IntN(40))]; ok(o) {
				return o
			}
		}
		return nil
	}
	// Sent again: one that was confirmed, at any time before; or one without a clear answer.
	if rnd.IntN(4) == 0 {
		if o := old(func(o *order) bool { return !o.refused && (o.confirmed || !o.sending) }); o != nil {
			return o
		}
	}
	o := &order{}
	high := len(w.orders) + 1
	key := func(kind configuration.Kind, most int) configuration.Key {
		return configuration.Key{Kind: kind, Name: fmt.Sprint("n", rnd.IntN(most))}
	}
	service := func() string { return fmt.Sprint("n", rnd.IntN(3)) }
	toRoute := func(v int) said {
		if rnd.IntN(4) == 0 {
			return said{key(configuration.Routes, 4), v, "dropped"}
		}
		return said{key(configuration.Routes, 4), v, fmt.Sprintf("h%d %s", rnd.IntN(5), service())}
	}
	toService := func(v int) said {
		if rnd.IntN(3) == 0 {
			return said{key(configuration.Services, 3), v, "dropped"}
		}
		return said{key(configuration.Services, 3), v, fmt.Sprint(100 + rnd.IntN(50))}
	}
	v := high
	switch rnd.IntN(12) {
	case 0, 1: // the same number as another's, and mostly something else
		if x := old(func(o *order) bool { return o.broken == "" && len(o.items) < 9 }); x != nil {
			for _, s := range x.items {
				if s.key.Kind == configuration.Services {
					s.what = toService(0).what
				} else {
					s.what = toRoute(0).what
				}
				o.items = append(o.items, s)
			}
			break
		}
		fallthrough
	case 2: // an old number that was never used, or was
		v = max(1, high-rnd.IntN(30))
		fallthrough
	case 3, 4, 5, 6:
		for range 1 + rnd.IntN(3) {
			o.items = append(o.items, toRoute(v))
		}
	case 7, 8:
		o.items = append(o.items, toService(v))
	case 9: // all routes to another service, and the one they left goes
		from, to := service(), service()
		for n := range 4 {
			o.items = append(o.items, said{configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("n", n)}, v, fmt.Sprintf("h%d %s", n, to)})
		}
		o.items = append(o.items, said{configuration.Key{Kind: configuration.Services, Name: to}, v, fmt.Sprint(100 + rnd.IntN(50))})
		if from != to {
			o.items = append(o.items, said{configuration.Key{Kind: configuration.Services, Name: from}, v, "dropped"})
		}
	case 10: // new services and routes to them
		o.items = append(o.items, toService(v), toService(v), toRoute(v), toRoute(v))
	case 11:
		o.broken = []string{"cut_short", "no_timeout", "kind", "unknown_service"}[rnd.IntN(4)]
		to := service()
		if o.broken == "unknown_service" {
			to = "nobody"
		}
		o.items = append(o.items, said{key(configuration.Routes, 4), v, "h0 " + to}, toRoute(v))
	}
	seen := map[configuration.Key]bool{}
	o.items = slices.DeleteFunc(o.items, func(s said) bool {
		twice := seen[s.key]
		seen[s.key] = true
		return twice
	})
	w.orders = append(w.orders, o)
	return o
}

// send makes one call, and tells whether the answer was clear. An operator may be gone before there is one: it waits for its second, or its
// connection breaks.
func (w *world) send(rnd *rand.Rand, o *order, addr string, gone time.Duration) bool {
	m := w.machine(addr)
	if m == nil {
		return false
	}
	w.lock.Lock()
	before := o.confirmed
	w.lock.Unlock()
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if gone > 0 {
		ctx, cancel = context.WithTimeout(ctx, gone)
		defer cancel()
	}
	got := httptest.NewRecorder()
	m.api.HTTPServer().Handler.ServeHTTP(got, httptest.NewRequestWithContext(ctx, "PATCH", "/config", strings.NewReader(o.body(rnd))))
	w.look()
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.dead[m] || ctx.Err() != nil || rnd.IntN(10) == 0 {
		w.counts["lost"]++
		return false
	}
	w.answered(o, before, got.Code, time.Since(began), !w.calm.IsZero() && !began.Before(w.calm))
	return got.Code != 503
}

// operate is one of the operators.
func (w *world) operate(rnd *rand.Rand) {
	for !w.stopped() {
		o := w.draw(rnd)
		w.lock.Lock()
		o.sending = true
		w.lock.Unlock()
		for try := range 1 + rnd.IntN(8) {
			addr := w.seeds[rnd.IntN(3)]
			gone := time.Duration(0)
			if rnd.IntN(5) == 0 {
				gone = time.Duration(1 + rnd.Int64N(int64(300*time.Millisecond)))
			}
			if w.send(rnd, o, addr, gone) || w.stopped() {
				break
			}
			pause := time.Duration(1+rnd.IntN(20)) * time.Millisecond
			if rnd.IntN(4) == 0 {
				pause *= time.Duration(1 + try*20)
			}
			time.Sleep(pause)
		}
		w.lock.Lock()
		o.sending = false
		w.lock.Unlock()
		time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
	}
}

func (w *world) end(addr string) *vfs.MemFS {
	w.lock.Lock()
	w.dead[w.nodes[addr]] = true
	w.lock.Unlock()
	return w.kill(addr)
}

func some(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most)))
}

// trouble brings one trouble about, and ends it.
func (w *world) trouble() {
	w.lock.Lock()
	w.calm = time.Time{}
	w.lock.Unlock()
	rnd, a := w.rnd, w.seeds[w.rnd.IntN(3)]
	switch rnd.IntN(6) {
	case 0:
		w.cut(a, true)
		time.Sleep(some(rnd, 3*time.Second))
		w.cut(a, false)
	case 1: // its power
		disk := w.end(a)
		time.Sleep(some(rnd, time.Second))
		w.start(a, disk, false)
	case 2: // its disk
		w.end(a)
		time.Sleep(some(rnd, time.Second))
		w.start(a, vfs.NewCrashableMem(), false)
	case 3: // power of all
		disks := map[string]*vfs.MemFS{}
		for _, a := range w.seeds {
			disks[a] = w.end(a)
			if rnd.IntN(2) == 0 {
				time.Sleep(some(rnd, 5*time.Millisecond))
			}
		}
		for _, a := range w.seeds {
			w.start(a, disks[a], false)
			time.Sleep(some(rnd, 100*time.Millisecond))
		}
	case 4, 5: // disks hang, for less than it takes to be given up
		for range 3 {
			var hang []*machine
			for _, a := range w.seeds {
				if rnd.IntN(3) > 0 {
					hang = append(hang, w.nodes[a])
				}
			}
			for _, m := range hang {
				m.hang.set(true)
			}
			time.Sleep(some(rnd, 600*time.Millisecond))
			for _, m := range hang {
				m.hang.set(false)
			}
			time.Sleep(some(rnd, 300*time.Millisecond))
		}
	}
	time.Sleep(4 * time.Second)
	for _, a := range w.seeds {
		if _, votes := w.nodes[a].replica.Voters(); !votes {
			w.lock.Lock()
			w.fail("node %s has no vote four seconds after its trouble", a)
			w.lock.Unlock()
		}
	}
}

// last reads back, and sends again.
func (w *world) last() {
	w.look()
	if wrong := w.differ(); wrong != "" {
		w.fail("%s", wrong)
	}
	_, book := w.nodes[w.seeds[0]].replica.Snapshot()
	for v, what := range w.confirmed {
		i, ok := book.Get(v.key)
		if !ok || int(i.Version) < v.version || int(i.Version) == v.version && whatSays(i) != what {
			w.fail("%v was confirmed as %q, and there is %v", v, what, i)
		}
	}
	taken := func(o *order) bool {
		return o.broken == "" && !slices.ContainsFunc(o.items, func(s said) bool { return w.held[s.of()] != s.what })
	}
	only := map[said]bool{} // what someone said who was not refused
	for _, o := range w.orders {
		for _, s := range o.items {
			only[s] = only[s] || !o.refused && o.broken == ""
		}
	}
	for v, what := range w.held {
		if !only[said{v.key, v.version, what}] {
			w.fail("%v was refused as %q, and was in force", v, what)
		}
	}
	for _, o := range w.orders {
		status := 0
		if !o.confirmed && !taken(o) && o.broken == "" || len(o.items) == 0 {
			continue
		}
		if status, _ = w.ask(w.seeds[w.rnd.IntN(3)], "PATCH", "/config", o.body(w.rnd)); o.broken == "" && status != 200 ||
			o.broken != "" && status/100 != 4 && !slices.ContainsFunc(o.items, w.forgotten) {
			w.fail("%v, %q, confirmed: %v, got %d in the end", o.items, o.broken, o.confirmed, status)
		}
		w.counts["again"]++
	}
}

// orders plays a seed.
func orders(t *testing.T, seed uint64) *register {
	w := &world{seed: seed, rnd: rand.New(rand.NewPCG(seed, 1))}
	w.confirmed, w.held, w.past, w.dead, w.counts = map[version]string{}, map[version]string{}, map[version]bool{}, map[*machine]bool{}, map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		w.core = newCore(t, 3)
		pass(2 * time.Second)
		first := &order{}
		for n := range 3 {
			first.items = append(first.items, said{configuration.Key{Kind: configuration.Services, Name: fmt.Sprint("n", n)}, 1, "99"})
		}
		w.orders = append(w.orders, first)
		w.lock.Lock()
		w.calm = time.Now()
		w.lock.Unlock()
		var all sync.WaitGroup
		for n := range 2 + seed%7 {
			all.Go(func() { w.operate(rand.New(rand.NewPCG(seed, 2+n))) })
		}
		for range 3 {
			time.Sleep(some(w.rnd, 2*time.Second))
			w.trouble()
			w.lock.Lock()
			w.calm = time.Now()
			w.lock.Unlock()
		}
		time.Sleep(2 * time.Second)
		w.lock.Lock()
		w.over = true
		w.lock.Unlock()
		all.Wait()
		pass(3 * time.Second)
		if w.wrong == "" {
			w.last()
		}
		w.core.end()
	})
	return &w.register
}

func TestOrders(t *testing.T) {
	sum := &register{counts: map[string]int{}}
	var all sync.WaitGroup
	const workers = 4
	for worker := range uint64(workers) {
		all.Go(func() {
			for seed := worker; seed < orderSeeds; seed += workers {
				r := orders(t, seed)
				sum.lock.Lock()
				if sum.slowest, sum.slowCalm = max(sum.slowest, r.slowest), max(sum.slowCalm, r.slowCalm); r.wrong != "" {
					t.Errorf("seed %d: %s", seed, r.wrong)
				}
				for k, n := range r.counts {
					sum.counts[k] += n
				}
				sum.lock.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d seeds: %v; slowest %v, in calm times %v", orderSeeds, sum.counts, sum.slowest, sum.slowCalm)
}

// Each of these plays one thing that the seeds meet seldom, and tells what went wrong.
var scenes = map[string]func(*core) string{
	// The answer that makes a majority, that of the node's own disk, comes when nobody waits any more; then another order comes to the node.
	"late majority": func(c *core) string {
		if status := c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		pass(100 * time.Millisecond) // so that the tick that looks for what is unfinished comes last
		c.nodes[c.seeds[0]].hang.set(true)
		c.nodes[c.seeds[2]].hang.set(true)
		late, err := configuration.ReadPatch([]byte(upsert([]string{service("t", 2)}, nil)))
		c.NoErr(err)
		if err := c.nodes[c.seeds[0]].proposals.Change(context.Background(), late, 50*time.Millisecond); err == nil {
			return "taken without a majority"
		}
		pass(270 * time.Millisecond)
		c.nodes[c.seeds[0]].hang.set(false)
		c.nodes[c.seeds[2]].hang.set(false)
		pass(10 * time.Millisecond)
		if status := c.patch(c.seeds[0], upsert([]string{service("u", 3)}, nil)); status != 200 {
			return fmt.Sprint("another: ", status)
		}
		pass(2 * time.Second)
		return c.differ()
	},
	// A node that was the last to have a change chosen is cut off, and asked about what came since.
	"cut off": func(c *core) string {
		if status := c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		c.cut(c.seeds[0], true)
		taken := upsert(nil, []string{route("r", "h", "t", 3)})
		for _, o := range []string{upsert([]string{service("t", 2)}, nil), taken} {
			if status := c.patch(c.seeds[1], o); status != 200 {
				return fmt.Sprint("at the others: ", status)
			}
		}
		if status := c.patch(c.seeds[0], taken); status != 503 {
			return fmt.Sprint("an order that is taken, at the one that is cut off: ", status)
		}
		c.cut(c.seeds[0], false)
		pass(3 * time.Second)
		if status := c.patch(c.seeds[0], taken); status != 200 {
			return fmt.Sprint("afterwards: ", status)
		}
		return c.differ()
	},
	// Two contents under one number at all nodes at once, again and again: one of them is confirmed, and it is in force.
	"race": func(c *core) string {
		for round := range 150 {
			var mu sync.Mutex
			var all sync.WaitGroup
			taken := 0
			for n := range 3 {
				all.Go(func() {
					status := c.patch(c.seeds[n], upsert([]string{service(fmt.Sprint("x", n), round+1)}, []string{route("r", fmt.Sprint("h", n), "s", round+1)}))
					if round == 0 {
						status = c.patch(c.seeds[n], upsert([]string{service("s", 1)}, nil))
					}
					mu.Lock()
					defer mu.Unlock()
					if status == 200 {
						taken = n + 1
					} else if status != 409 {
						taken = -100
					}
				})
			}
			all.Wait()
			_, book := c.nodes[c.seeds[round%3]].replica.Snapshot()
			if i, _ := book.Get(configuration.Key{Kind: configuration.Routes, Name: "r"}); round > 0 && whatSays(i) != fmt.Sprintf("h%d s", taken-1) {
				return fmt.Sprintf("round %d: confirmed to %d, and there is %v", round, taken-1, i)
			}
		}
		return c.differ()
	},
	// A node finds that another's order was taken while its own one under the same number was on its way.
	"other found": func(c *core) string {
		if status := c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		pass(10 * time.Millisecond) // behind a tick
		c.cut(c.seeds[0], true)
		var got sync.WaitGroup
		status := 0
		got.Go(func() { status = c.patch(c.seeds[0], upsert([]string{service("t", 2)}, nil)) })
		pass(5 * time.Millisecond)
		items, err := configuration.ReadPatch([]byte(strings.Replace(upsert([]string{service("t", 2)}, nil), "130", "131", 1)))
		c.NoErr(err)
		for _, a := range c.seeds[1:] {
			epoch, _ := c.nodes[a].replica.Snapshot()
			if a := c.nodes[a].replica.Accept(consensus.Proposal{Ballot: consensus.Ballot{Round: 50, Node: "a"}, Epoch: epoch + 1, Items: items}, nil); a == nil || !a.OK {
				return "the other's is not accepted"
			}
		}
		c.cut(c.seeds[0], false)
		got.Wait()
		if status != 409 {
			return fmt.Sprint("under a number that is taken: ", status)
		}
		return c.differ()
	},
	// Word comes that a change is chosen, to one that holds another for the same place.
	"word of another": func(c *core) string {
		if status := c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		pass(10 * time.Millisecond) // until all know
		v := c.nodes[c.seeds[2]].replica
		epoch, _ := v.Snapshot()
		items, err := configuration.ReadPatch([]byte(upsert([]string{service("t", 2)}, nil)))
		c.NoErr(err)
		held := consensus.Proposal{Ballot: consensus.Ballot{Round: 50, Node: "a"}, Epoch: epoch + 1, Items: items}
		if a := v.Accept(held, nil); a == nil || !a.OK || v.Learn(held.Ballot.Above("b"), held.Epoch) {
			return "it took its own for the other"
		}
		if status := c.patch(c.seeds[0], upsert([]string{service("u", 3)}, nil)); status != 200 {
			return fmt.Sprint("another: ", status)
		}
		pass(2 * time.Second)
		return c.differ()
	},
	// An operator's connection breaks, it is refused elsewhere, and what its order lacked comes while the first node still has that.
	"gone": func(c *core) string {
		if status := c.patch(c.seeds[1], upsert([]string{service("s", 1)}, nil)); status != 200 {
			return fmt.Sprint("first: ", status)
		}
		c.cut(c.seeds[0], true)
		order := upsert(nil, []string{route("r", "h", "t", 3)})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		c.nodes[c.seeds[0]].api.HTTPServer().Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "PATCH", "/config", strings.NewReader(order)))
		pass(5 * time.Millisecond)
		if status := c.patch(c.seeds[1], order); status != 400 {
			return fmt.Sprint("elsewhere: ", status)
		}
		if status := c.patch(c.seeds[1], upsert([]string{service("t", 2)}, nil)); status != 200 {
			return fmt.Sprint("the service: ", status)
		}
		c.cut(c.seeds[0], false)
		pass(3 * time.Second)
		if _, book := c.nodes[c.seeds[1]].replica.Snapshot(); strings.Contains(string(book.RenderJSON()), "authority") {
			return "refused, and in force"
		}
		return c.differ()
	},
}

// differ tells how what the nodes give back differs.
func (c *core) differ() string {
	text := ""
	for _, a := range c.seeds {
		status, read := c.ask(a, "GET", "/config", "")
		if status != 200 || text != "" && read != text {
			return fmt.Sprintf("node %s gives back %d\n%s\nand another\n%s", a, status, read, text)
		}
		text = read
	}
	return ""
}

func play(t *testing.T, scene func(*core) string) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		pass(2 * time.Second)
		wrong = scene(c)
		for _, a := range c.seeds {
			c.cut(a, false)
		}
		c.end()
	})
	return wrong
}

func TestOrdersSeldom(t *testing.T) {
	for name, scene := range scenes {
		if wrong := play(t, scene); wrong != "" {
			t.Errorf("%s: %s", name, wrong)
		}
	}
}

// Three nodes outbid one another without a pause, on disks that take their time: everybody who asks, and who reads, is answered, and soon.
func TestNobodyStarves(t *testing.T) {
	for _, syncs := range []time.Duration{0, 4 * time.Millisecond, 20 * time.Millisecond} {
		for _, each := range []int{1, 4} {
			synctest.Test(t, func(t *testing.T) {
				c := newCore(t, 3)
				pass(2 * time.Second)
				c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)), 200)
				over := time.Now().Add(starveSeconds * time.Second)
				if syncs == 0 {
					over = time.Now().Add(starveSeconds * time.Second / 8) // as many orders as in the other runs
				}
				var all sync.WaitGroup
				for _, a := range c.seeds { // what is to be synced waits for the next of these moments
					all.Go(func() {
						for m := c.nodes[a]; syncs > 0 && time.Now().Before(over); {
							m.hang.set(true)
							time.Sleep(syncs)
							m.hang.set(false)
							time.Sleep(100 * time.Microsecond)
						}
					})
				}
				var mu sync.Mutex
				worst, count, unclear := map[string]time.Duration{}, map[string]int{}, 0
				note := func(what string, began time.Time, status int) {
					mu.Lock()
					defer mu.Unlock()
					worst[what], count[what] = max(worst[what], time.Since(began)), count[what]+1
					if status != 200 {
						unclear++
					}
				}
				for n, a := range c.seeds {
					operators := each
					if n == 2 {
						operators = 1 // who is alone with his node among so many at the others
					}
					for k := range operators {
						all.Go(func() {
							for v := 1; time.Now().Before(over); v++ {
								began := time.Now()
								note(fmt.Sprint("orders at ", n), began, c.patch(a, upsert([]string{service(fmt.Sprintf("s%d-%d", n, k), v)}, nil)))
								time.Sleep(time.Millisecond)
							}
						})
					}
					all.Go(func() {
						for time.Now().Before(over) {
							began := time.Now()
							status, _ := c.ask(a, "GET", "/config", "")
							note("readings", began, status)
							time.Sleep(50 * time.Millisecond)
						}
					})
				}
				all.Wait()
				t.Logf("syncs of %v, %d operators at each of two nodes, one at the third: %v, at the worst %v, unclear: %d", syncs, each, count, worst, unclear)
				if unclear > 0 {
					t.Errorf("%d without a clear answer", unclear)
				}
				for what, w := range worst {
					if w > 750*time.Millisecond {
						t.Errorf("%s: %v", what, w)
					}
				}
				c.end()
			})
		}
	}
}

// A body that stalls says nothing about what it holds, so its order may come again; one that ends short is refused.
func TestBodiesThatDoNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 1)
		pass(2 * time.Second)
		for err, want := range map[error]int{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}: 408, io.ErrUnexpectedEOF: 400} {
			got := httptest.NewRecorder()
			body := io.MultiReader(strings.NewReader(`{"upsert":`), iotest.ErrReader(err))
			c.nodes[c.seeds[0]].api.HTTPServer().Handler.ServeHTTP(got, httptest.NewRequest("PATCH", "/config", body))
			c.Equal(got.Code, want)
		}
		c.end()
	})
}
