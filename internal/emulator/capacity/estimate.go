package capacity

import (
	"math"
	"slices"

	"github.com/pkg/errors"

	"mulleinrouter/internal/emulator/costmodel"
)

// Row is one need of a role beside its limit.
type Row struct {
	Role, What string
	Unit       string
	Need       float64
	Limit      float64
	Terms      []Term  // that Need is the sum of, the largest first
	Reach      float64 // the part of the size at which the need is as large as the limit; 0: it is over it at any size
}

// Margin is how many times the need fits into the limit: below 1 it does not.
func (r *Row) Margin() float64 { return r.Limit / r.Need }

// Term is one part of a need: so much for each of a number of things.
type Term struct {
	What   string
	Each   float64
	Number float64
}

func (t Term) sum() float64 { return t.Each * t.Number }

// reckoner takes slopes by their names, and keeps the first that lacks.
type reckoner struct {
	*Plan
	run  *costmodel.Run
	err  error
	rows []Row
}

func (r *reckoner) series(name string) *costmodel.Series {
	if s := r.run.Find(name); s != nil {
		return s
	}
	if r.err == nil {
		r.err = errors.Errorf("the run has no slope %q", name)
	}
	return new(costmodel.Series)
}

// each is what one more of a thing costs; at is what an operation costs at a size.
func (r *reckoner) each(name string) float64 { return r.series(name).B }

func (r *reckoner) atSize(name string, n float64) float64 {
	cost, _ := r.series(name).At(n)
	return cost
}

// need is a sum under way.
type need struct {
	r     *reckoner
	terms []Term
	alloc float64 // bytes a second that are allocated
}

func (n *need) add(what string, each, number float64) {
	if each*number != 0 {
		n.terms = append(n.terms, Term{what, each, number})
	}
}

// op adds the time of operations that cost by a size, each a second so often, with what they allocate.
func (n *need) op(what, series string, size, often float64) {
	cost, alloc := n.r.series(series).At(size)
	n.add(what, cost, often)
	n.alloc += alloc * often
}

// one adds the time of one more in a frame, so often a second.
func (n *need) one(what, series string, often float64) {
	s := n.r.series(series)
	n.add(what, s.B, often)
	n.alloc += max(0, s.Alloc[1]) * often
}

// collector adds what the collector costs for all that is allocated: each time the heap has grown by so many percent,
// it goes through what lives, so by each byte it costs the same however much lives.
func (n *need) collector(percent float64) {
	n.add("collector, a byte allocated", n.r.each("gc.cycle")*100/percent, n.alloc)
}

func (r *reckoner) row(role, what, unit string, limit float64, terms []Term) {
	row := Row{Role: role, What: what, Unit: unit, Limit: limit, Terms: terms}
	for _, t := range terms {
		row.Need += t.sum()
	}
	slices.SortStableFunc(row.Terms, func(a, b Term) int {
		if a.sum() > b.sum() {
			return -1
		}
		return 1
	})
	r.rows = append(r.rows, row)
}

const (
	day        = 86400.0
	heartbeats = 2.0 // a second, of each subscription; as many renewals go back
	pairs      = 2   // calls of a slice in each cycle: the report, and the read
)

// reckon fills the rows at one size.
func (p *Plan) estimate(run *costmodel.Run) ([]Row, error) {
	r := &reckoner{Plan: p, run: run}
	r.ingress()
	r.core()
	r.times()
	return r.rows, r.err
}

// pace is how often a second what comes about that all go by.
type pace struct{ requests, asked, changes, lines float64 }

func (r *reckoner) pace() (x pace) {
	x.requests = r.of("size.requests_per_s") / r.of("size.ingresses")
	x.asked = x.requests*r.of("counters.asked") + pairs*r.of("counters.tenants_sliced")
	x.changes = r.of("size.changes_per_day") / day * r.of("news.peak")
	x.lines = (r.of("size.restarts_per_day")*r.of("news.lines_a_restart") + 2*r.of("size.failures_per_day")) / day * r.of(
		"news.peak",
	)
	return x
}

// part is how much of the changes of the configuration comes to an ingress.
func (r *reckoner) part() (part float64) {
	for _, kind := range []string{"routes", "tenants", "services"} {
		part = max(part, r.of("agent."+kind), r.of("proxy."+kind))
	}
	return part
}

// known adds the memory of what a process holds of the whole, by the slopes of a Store and what is beside it.
func (r *reckoner) known(n *need, who, name, series string, beside ...string) {
	each := r.each(series)
	for _, b := range beside {
		each += r.each(b)
	}
	n.add(name, each, r.of("size."+name)*r.of(who+"."+name))
}

// increase raises every term by a percentage, in place.
func increase(terms []Term, percent float64) {
	for i := range terms {
		terms[i].Each *= 1 + percent/100
	}
}

func (r *reckoner) ingress() {
	x := r.pace()
	memory, cpu, bytes := r.of("limits.ingress.memory"), r.of("limits.ingress.cpu"), r.of("limits.ingress.bytes_per_s")
	asking := min(x.requests*60*r.of("proxy.tenants_a_request"), r.of("size.tenants")) // tenants met within the minute

	agent := &need{r: r}
	r.known(agent, "agent", "routes", "store.route")
	r.known(agent, "agent", "tenants", "store.tenant")
	r.known(agent, "agent", "services", "store.service")
	r.known(agent, "agent", "servers", "store.line")
	increase(agent.terms, r.of("agent.gc_percent"))
	agent.add("fixed", r.of("agent.fixed_bytes"), 1)
	r.row("agent", "memory", "B", memory, agent.terms)

	proxy := &need{r: r}
	r.known(proxy, "proxy", "routes", "store.route")
	r.known(proxy, "proxy", "tenants", "store.tenant", "table.tenant")
	r.known(proxy, "proxy", "services", "store.service", "table.service")
	r.known(proxy, "proxy", "servers", "store.line", "gateway.server")
	proxy.add("tenants within the minute", r.each("gateway.tenant"), asking)
	increase(proxy.terms, r.of("proxy.gc_percent"))
	proxy.add("fixed", r.of("proxy.fixed_bytes"), 1)
	r.row("proxy", "memory for control", "B", memory, proxy.terms)
	r.row("agent and proxy", "memory for control", "B", memory, append(slices.Clone(agent.terms), proxy.terms...))

	sources, copies := r.of("news.sources"), r.of("news.copies")
	tenants, servers := r.of("size.tenants")*r.of("agent.tenants"), r.of("size.servers")*r.of("agent.servers")
	part := r.part()
	shown := max(r.of("agent.servers"), r.of("proxy.servers"))
	stored := max(tenants, r.of("size.tenants")*r.of("proxy.tenants"), 1)
	lines := max(servers, r.of("size.servers")*r.of("proxy.servers"), 1)
	calls := x.asked / r.of("counters.batch")

	work := &need{r: r}
	work.one("heartbeats read", "read.beat", sources*heartbeats)
	work.one("renewals written", "write.renew", sources*heartbeats)
	work.one("heartbeats to the proxy", "write.beat", heartbeats)
	work.one("renewals of the proxy", "read.renew", heartbeats)
	work.one("changes read", "read.tenant", x.changes*part*copies)
	work.op("changes taken", "change.store", stored, x.changes*part)
	work.one("changes to the proxy", "write.tenant", x.changes*part)
	work.one("lines read", "read.line", x.lines*shown*copies)
	work.op("lines taken", "change.line", lines, x.lines*shown)
	work.one("lines to the proxy", "write.line", x.lines*shown)
	work.one("counter calls carried: written", "write.count", x.asked)
	work.one("counter calls carried: read", "read.count", x.asked)
	work.collector(r.of("agent.gc_percent"))
	r.row("agent", "processor, without system calls", "core", cpu, slices.Clone(work.terms))

	side := &need{r: r}
	side.one("heartbeats read", "read.beat", heartbeats)
	side.one("changes read", "read.tenant", x.changes*part)
	side.op("changes taken", "change.store", stored, x.changes*part)
	side.op("tables swapped", "change.with", stored, x.changes*part)
	side.one("lines read", "read.line", x.lines*shown)
	side.op("lines taken", "change.line", lines, x.lines*shown)
	side.one(
		"ticks, by servers known",
		"tick.servers",
		r.of("proxy.ticks_per_s")*r.of("size.servers")*r.of("proxy.servers"),
	)
	side.one("ticks, by tenants of the minute", "tick.thin", r.of("proxy.ticks_per_s")*asking)
	side.one("ticks, by tenants with a slice", "tick.sliced", r.of("proxy.ticks_per_s")*r.of("counters.tenants_sliced"))
	side.one("counter calls: written", "write.count", x.asked/2)
	side.one("counter calls: read", "read.count", x.asked/2)
	side.collector(r.of("proxy.gc_percent"))
	r.row("proxy", "processor for control", "core", cpu, slices.Clone(side.terms))
	r.row("agent and proxy", "processor for control", "core", cpu, append(work.terms, side.terms...))

	segment := r.of("wire.segment")
	wire := &need{r: r}
	wire.add("heartbeats", r.each("wire.beat")+segment, sources*heartbeats)
	wire.add("renewals", r.each("wire.renew")+segment, sources*heartbeats)
	wire.add("changes", r.each("wire.tenant")+segment, x.changes*part*copies)
	wire.add("lines", r.each("wire.line")+segment, x.lines*shown*copies)
	call := r.of("counters.call_bytes")
	if call == 0 {
		call = r.each("wire.count")
	}
	wire.add("counter calls", call, x.asked)
	wire.add("segments of counter calls", 2*segment, calls)
	wire.add("look-ups of what is not held, in those calls", r.each("wire.tenant"), x.requests*r.of("news.lookups"))
	r.row("agent", "bytes a second, core side", "B/s", bytes, wire.terms)

	start := &need{r: r}
	for _, k := range []struct{ name, series string }{{"routes", "wire.route"}, {"tenants", "wire.tenant"},
		{"services", "wire.service"}, {"servers", "wire.line"}} {
		start.add(
			k.name,
			r.each(k.series)*copies/bytes,
			r.of("news.start")*r.of("size."+k.name)*max(r.of("agent."+k.name), r.of("proxy."+k.name)),
		)
	}
	r.row("agent", "a newcomer's snapshot at its bytes a second", "s", r.of("limits.start_s"), start.terms)
}

func (r *reckoner) core() {
	x := r.pace()
	ingresses, nodes := r.of("size.ingresses"), r.of("core.nodes_with_beats")
	serverHeartbeats := r.of("size.servers") / r.of("size.beat_s") / nodes
	keepers := r.of("counters.nodes")
	calls := ingresses * x.asked / keepers
	subscribers := ingresses * r.of("news.sources") / r.of("news.source_nodes")
	sending := subscribers * r.of("news.copies") / r.of("news.sources") // of whom so many get the news itself
	lines := r.of("size.servers") * r.of("core.servers")
	part := r.part()
	shown := max(r.of("agent.servers"), r.of("proxy.servers"))

	memory := &need{r: r}
	for _, k := range []struct{ name, series string }{{"routes", "store.route"}, {"tenants", "store.tenant"},
		{"services", "store.service"}} {
		memory.add(k.name, r.each(k.series), r.of("size."+k.name)*r.of("core."+k.name))
	}
	memory.add("servers", r.each("store.line")+r.each("registry.line"), lines)
	memory.add("counters, by tenant", r.each("tally.name"), min(r.of("size.tenants")/keepers, calls*60))
	memory.add("counters, by further holder", r.each("tally.holder.each"), calls*r.of("counters.keep_s"))
	memory.add(
		"tombstones",
		r.each("store.tombstone"),
		r.of("size.changes_per_day")*r.of("news.dropped")*r.of("news.tombstone_days"),
	)
	increase(memory.terms, r.of("core.gc_percent"))
	memory.add("fixed", r.of("core.fixed_bytes"), 1)
	r.row("control", "memory", "B", r.of("limits.core.memory"), memory.terms)

	work := &need{r: r}
	work.op("beats taken, without HTTP", "registry.beat", lines, serverHeartbeats)
	work.one("beats told to others", "write.heard", serverHeartbeats*r.of("core.told"))
	work.one("beats of others read", "read.heard", serverHeartbeats*r.of("core.told"))
	work.op("beats of others taken", "registry.heard", lines, serverHeartbeats*r.of("core.told"))
	work.one("heartbeats to agents", "write.beat", subscribers*heartbeats)
	work.one("renewals of agents", "read.renew", subscribers*heartbeats)
	work.one("changes to agents", "write.tenant", x.changes*part*sending)
	work.one("frames of changes to agents", "write.beat", x.changes*part*sending)
	work.one("lines to agents", "write.line", x.lines*shown*sending)
	work.op("changes checked", "change.check", max(1, r.of("size.routes")), x.changes)
	work.op("changes kept", "change.store", max(1, r.of("size.tenants")*r.of("core.tenants")), x.changes)
	work.op("changes chosen", "ballot.change", r.of("core.voters"), x.changes)
	work.op("changes to disk", "vault.save", 1, 2*x.changes)
	work.op("counter calls kept", "tally.add", max(1, r.of("size.tenants")/keepers), calls)
	work.one("counter calls: written", "write.count", calls/2)
	work.one("counter calls: read", "read.count", calls/2)
	work.collector(r.of("core.gc_percent"))
	r.row("control", "processor, without system calls and HTTP", "core", r.of("limits.core.cpu"), work.terms)

	segment := r.of("wire.segment")
	wire := &need{r: r}
	wire.add("beats of servers, a call and its answer", r.of("wire.beat_http")+2*segment, serverHeartbeats)
	wire.add("beats told, both ways", r.each("wire.heard"), 2*serverHeartbeats*r.of("core.told"))
	wire.add(
		"heartbeats and renewals of agents",
		r.each("wire.beat")+r.each("wire.renew")+2*segment,
		subscribers*heartbeats,
	)
	wire.add("changes to agents", r.each("wire.tenant")+r.each("wire.beat")+segment, x.changes*part*sending)
	wire.add("lines to agents", r.each("wire.line")+segment, x.lines*shown*sending)
	call := r.of("counters.call_bytes")
	if call == 0 {
		call = r.each("wire.count")
	}
	wire.add("counter calls", call+2*segment/r.of("counters.batch"), calls)
	r.row("control", "bytes a second", "B/s", r.of("limits.core.bytes_per_s"), wire.terms)

	r.row(
		"control",
		"tenants' counters of one keeper (tally.Names)",
		"",
		1<<17,
		[]Term{{"tenants of the minute", 1, min(r.of("size.tenants")/keepers, calls*60)}},
	)
	r.row("control", "lines of one registry (lines.MostLines)", "", 1<<19, []Term{{"servers", 1, lines}})
	first := &need{r: r}
	for _, k := range []struct{ name, series string }{{"routes", "wire.route"}, {"tenants", "wire.tenant"},
		{"services", "wire.service"}} {
		first.add(k.name, r.each(k.series), r.of("size."+k.name))
	}
	r.row(
		"control",
		"the first call, one frame between voters (trunk.MaxWhole)",
		"B",
		r.of("wire.first_call"),
		first.terms,
	)
	grave := &need{r: r}
	grave.add(
		"tombstones",
		r.each("store.tombstone")*(1+r.of("core.gc_percent")/100),
		r.of("size.changes_per_day")*r.of("news.dropped")*r.of("size.days"),
	)
	if r.of("news.tombstone_days") == 0 { // they are never collected
		r.row("control", "tombstones after all days, in each copy", "B", r.of("limits.core.memory"), grave.terms)
	}
}

func (r *reckoner) times() {
	speed := r.of("limits.ingress.speed")
	x := r.pace()
	asking := min(x.requests*60*r.of("proxy.tenants_a_request"), r.of("size.tenants"))
	stall := &need{r: r}
	stall.add("servers known", r.each("tick.servers")/speed, r.of("size.servers")*r.of("proxy.servers"))
	stall.add("tenants of the minute", r.each("tick.thin")/speed, asking)
	stall.add("tenants with a slice", r.each("tick.sliced")/speed, r.of("counters.tenants_sliced"))
	r.row("proxy", "a tick, in which no request is decided", "s", r.of("limits.added_s"), stall.terms)

	find := &need{r: r}
	find.add("route found", r.atSize("lookup.route", max(1, r.of("size.routes")*r.of("proxy.routes")))/speed, 1)
	find.add("tenant found", r.atSize("lookup.tenant", max(1, r.of("size.tenants")*r.of("proxy.tenants")))/speed, 1)
	find.add("request decided", r.atSize("request.servers", r.of("proxy.largest_group"))/speed, 1)
	r.row("proxy", "a request found and decided, by itself", "s", r.of("limits.added_s"), find.terms)

	subscribers := r.of("size.ingresses") * r.of("news.copies") / r.of("news.source_nodes")
	way := &need{r: r}
	way.add("rounds of the voters", r.of("core.rtt_s"), 2)
	way.add("syncs", r.of("core.sync_s"), 2)
	way.add("to the sources and the agents", r.of("core.rtt_s")/2, 2)
	way.add(
		"frames to all subscribers of a node",
		(r.each("write.beat")+r.each("write.tenant"))/max(1e-3, r.of("limits.core.cpu")),
		subscribers,
	)
	r.row("all", "a change in force, calm, nothing waiting", "s", r.of("limits.change_s"), way.terms)
}

// Estimate reckons the needs at the size of the plan, and for each up to which part of that size it keeps its limit. It
// errs where the run lacks a slope.
func (p *Plan) Estimate(run *costmodel.Run) (*Report, error) {
	rows, err := p.estimate(run)
	if err != nil {
		return nil, err
	}
	need := func(times float64, n int) float64 {
		at, _ := p.at(times).estimate(run)
		return at[n].Need - at[n].Limit
	}
	for n := range rows {
		rows[n].Reach = reach(func(times float64) bool { return need(times, n) > 0 })
	}
	return &Report{Plan: p, Run: run, Rows: rows}, nil
}

// Sizes at which it is looked for the one where a limit is reached, as parts of the planned one.
const leastPart, mostPart = 1e-5, 1e3

// reach is the largest part at which over is false: needs only grow with the size. 0: over at any; infinite: at none.
func reach(over func(times float64) bool) float64 {
	low, high := math.Log(leastPart), math.Log(mostPart)
	if over(leastPart) {
		return 0
	}
	if !over(mostPart) {
		return math.Inf(1)
	}
	for range 40 {
		if mid := (low + high) / 2; over(math.Exp(mid)) {
			high = mid
		} else {
			low = mid
		}
	}
	return math.Exp(low)
}
