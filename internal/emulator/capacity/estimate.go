package capacity

import (
	"math"
	"slices"

	"github.com/pkg/errors"

	"mulleinrouter/internal/emulator/costmodel"
)

// Requirement is one need of a role beside its limit.
type Requirement struct {
	Role, Description string
	Unit              string
	Need              float64
	Limit             float64
	Terms             []Term  // that Need is the sum of, the largest first
	MaxScale          float64 // the part of the size at which the need is as large as the limit; 0: it is over it at any size
}

// Margin is how many times the need fits into the limit: below 1 it does not.
func (r *Requirement) Margin() float64 { return r.Limit / r.Need }

// Term is one part of a need: so much for each of a number of things.
type Term struct {
	Description string
	UnitCost    float64
	Count       float64
}

func (t Term) total() float64 { return t.UnitCost * t.Count }

// estimator takes slopes by their names, and keeps the first that lacks.
type estimator struct {
	*Plan
	run          *costmodel.Run
	err          error
	requirements []Requirement
}

func (r *estimator) series(name string) *costmodel.Series {
	if s := r.run.Find(name); s != nil {
		return s
	}
	if r.err == nil {
		r.err = errors.Errorf("the run has no slope %q", name)
	}
	return new(costmodel.Series)
}

// unitCost is what one more of a thing costs; at is what an operation costs at a size.
func (r *estimator) unitCost(name string) float64 { return r.series(name).Slope }

func (r *estimator) costAt(name string, n float64) float64 {
	cost, _ := r.series(name).At(n)
	return cost
}

// demand is a sum under way.
type demand struct {
	estimator *estimator
	terms     []Term
	allocated float64 // bytes a second that are allocated
}

func (n *demand) add(what string, each, number float64) {
	if each*number != 0 {
		n.terms = append(n.terms, Term{what, each, number})
	}
}

// addOperations adds the time of operations that cost by a size, each a second so often, with what they allocate.
func (n *demand) addOperations(what, series string, size, often float64) {
	cost, alloc := n.estimator.series(series).At(size)
	n.add(what, cost, often)
	n.allocated += alloc * often
}

// addUnits adds the time of addUnits more in a frame, so often a second.
func (n *demand) addUnits(what, series string, often float64) {
	s := n.estimator.series(series)
	n.add(what, s.Slope, often)
	n.allocated += max(0, s.AllocLine[1]) * often
}

// addCollector adds what the addCollector costs for all that is allocated: each time the heap has grown by so many percent,
// it goes through what lives, so by each byte it costs the same however much lives.
func (n *demand) addCollector(percent float64) {
	n.add("collector, a byte allocated", n.estimator.unitCost("gc.cycle")*100/percent, n.allocated)
}

func (r *estimator) require(role, what, unit string, limit float64, terms []Term) {
	row := Requirement{Role: role, Description: what, Unit: unit, Limit: limit, Terms: terms}
	for _, t := range terms {
		row.Need += t.total()
	}
	slices.SortStableFunc(row.Terms, func(a, b Term) int {
		if a.total() > b.total() {
			return -1
		}
		return 1
	})
	r.requirements = append(r.requirements, row)
}

const (
	day        = 86400.0
	heartbeats = 2.0 // a second, of each subscription; as many renewals go back
	pairs      = 2   // calls of a slice in each cycle: the report, and the read
)

// reckon fills the rows at one size.
func (p *Plan) estimate(run *costmodel.Run) ([]Requirement, error) {
	r := &estimator{Plan: p, run: run}
	r.ingress()
	r.core()
	r.times()
	return r.requirements, r.err
}

// eventRates is how often a second what comes about that all go by.
type eventRates struct{ requests, counterCalls, changes, instances float64 }

func (r *estimator) rates() (x eventRates) {
	x.requests = r.value("size.requests_per_s") / r.value("size.ingresses")
	x.counterCalls = x.requests*r.value("counters.asked") + pairs*r.value("counters.tenants_sliced")
	x.changes = r.value("size.changes_per_day") / day * r.value("news.peak")
	x.instances = (r.value("size.restarts_per_day")*r.value("news.lines_a_restart") + 2*r.value("size.failures_per_day")) / day * r.value(
		"news.peak",
	)
	return x
}

// changeShare is how much of the changes of the configuration comes to an ingress.
func (r *estimator) changeShare() (part float64) {
	for _, kind := range []string{"routes", "tenants", "services"} {
		part = max(part, r.value("agent."+kind), r.value("proxy."+kind))
	}
	return part
}

// addState adds the memory of what a process holds of the whole, by the slopes of a Store and what is beside it.
func (r *estimator) addState(n *demand, who, name, series string, beside ...string) {
	each := r.unitCost(series)
	for _, b := range beside {
		each += r.unitCost(b)
	}
	n.add(name, each, r.value("size."+name)*r.value(who+"."+name))
}

// increase raises every term by a percentage, in place.
func increase(terms []Term, percent float64) {
	for i := range terms {
		terms[i].UnitCost *= 1 + percent/100
	}
}

func (r *estimator) ingress() {
	x := r.rates()
	memory, cpu, bytes := r.value("limits.ingress.memory"), r.value("limits.ingress.cpu"), r.value("limits.ingress.bytes_per_s")
	asking := min(x.requests*60*r.value("proxy.tenants_a_request"), r.value("size.tenants")) // tenants met within the minute

	agent := &demand{estimator: r}
	r.addState(agent, "agent", "routes", "store.route")
	r.addState(agent, "agent", "tenants", "store.tenant")
	r.addState(agent, "agent", "services", "store.service")
	r.addState(agent, "agent", "servers", "store.line")
	increase(agent.terms, r.value("agent.gc_percent"))
	agent.add("fixed", r.value("agent.fixed_bytes"), 1)
	r.require("agent", "memory", "B", memory, agent.terms)

	proxy := &demand{estimator: r}
	r.addState(proxy, "proxy", "routes", "store.route")
	r.addState(proxy, "proxy", "tenants", "store.tenant", "table.tenant")
	r.addState(proxy, "proxy", "services", "store.service", "table.service")
	r.addState(proxy, "proxy", "servers", "store.line", "gateway.server")
	proxy.add("tenants within the minute", r.unitCost("gateway.tenant"), asking)
	increase(proxy.terms, r.value("proxy.gc_percent"))
	proxy.add("fixed", r.value("proxy.fixed_bytes"), 1)
	r.require("proxy", "memory for control", "B", memory, proxy.terms)
	r.require("agent and proxy", "memory for control", "B", memory, append(slices.Clone(agent.terms), proxy.terms...))

	sources, copies := r.value("news.sources"), r.value("news.copies")
	tenants, servers := r.value("size.tenants")*r.value("agent.tenants"), r.value("size.servers")*r.value("agent.servers")
	part := r.changeShare()
	shown := max(r.value("agent.servers"), r.value("proxy.servers"))
	stored := max(tenants, r.value("size.tenants")*r.value("proxy.tenants"), 1)
	lines := max(servers, r.value("size.servers")*r.value("proxy.servers"), 1)
	calls := x.counterCalls / r.value("counters.batch")

	work := &demand{estimator: r}
	work.addUnits("heartbeats read", "read.beat", sources*heartbeats)
	work.addUnits("renewals written", "write.renew", sources*heartbeats)
	work.addUnits("heartbeats to the proxy", "write.beat", heartbeats)
	work.addUnits("renewals of the proxy", "read.renew", heartbeats)
	work.addUnits("changes read", "read.tenant", x.changes*part*copies)
	work.addOperations("changes taken", "change.store", stored, x.changes*part)
	work.addUnits("changes to the proxy", "write.tenant", x.changes*part)
	work.addUnits("lines read", "read.line", x.instances*shown*copies)
	work.addOperations("lines taken", "change.line", lines, x.instances*shown)
	work.addUnits("lines to the proxy", "write.line", x.instances*shown)
	work.addUnits("counter calls carried: written", "write.count", x.counterCalls)
	work.addUnits("counter calls carried: read", "read.count", x.counterCalls)
	work.addCollector(r.value("agent.gc_percent"))
	r.require("agent", "processor, without system calls", "core", cpu, slices.Clone(work.terms))

	side := &demand{estimator: r}
	side.addUnits("heartbeats read", "read.beat", heartbeats)
	side.addUnits("changes read", "read.tenant", x.changes*part)
	side.addOperations("changes taken", "change.store", stored, x.changes*part)
	side.addOperations("tables swapped", "change.with", stored, x.changes*part)
	side.addUnits("lines read", "read.line", x.instances*shown)
	side.addOperations("lines taken", "change.line", lines, x.instances*shown)
	side.addUnits(
		"ticks, by servers known",
		"tick.servers",
		r.value("proxy.ticks_per_s")*r.value("size.servers")*r.value("proxy.servers"),
	)
	side.addUnits("ticks, by tenants of the minute", "tick.thin", r.value("proxy.ticks_per_s")*asking)
	side.addUnits("ticks, by tenants with a slice", "tick.sliced", r.value("proxy.ticks_per_s")*r.value("counters.tenants_sliced"))
	side.addUnits("counter calls: written", "write.count", x.counterCalls/2)
	side.addUnits("counter calls: read", "read.count", x.counterCalls/2)
	side.addCollector(r.value("proxy.gc_percent"))
	r.require("proxy", "processor for control", "core", cpu, slices.Clone(side.terms))
	r.require("agent and proxy", "processor for control", "core", cpu, append(work.terms, side.terms...))

	segment := r.value("wire.segment")
	wire := &demand{estimator: r}
	wire.add("heartbeats", r.unitCost("wire.beat")+segment, sources*heartbeats)
	wire.add("renewals", r.unitCost("wire.renew")+segment, sources*heartbeats)
	wire.add("changes", r.unitCost("wire.tenant")+segment, x.changes*part*copies)
	wire.add("lines", r.unitCost("wire.line")+segment, x.instances*shown*copies)
	call := r.value("counters.call_bytes")
	if call == 0 {
		call = r.unitCost("wire.count")
	}
	wire.add("counter calls", call, x.counterCalls)
	wire.add("segments of counter calls", 2*segment, calls)
	wire.add("look-ups of what is not held, in those calls", r.unitCost("wire.tenant"), x.requests*r.value("news.lookups"))
	r.require("agent", "bytes a second, core side", "B/s", bytes, wire.terms)

	start := &demand{estimator: r}
	for _, k := range []struct{ name, series string }{{"routes", "wire.route"}, {"tenants", "wire.tenant"},
		{"services", "wire.service"}, {"servers", "wire.line"}} {
		start.add(
			k.name,
			r.unitCost(k.series)*copies/bytes,
			r.value("news.start")*r.value("size."+k.name)*max(r.value("agent."+k.name), r.value("proxy."+k.name)),
		)
	}
	r.require("agent", "a newcomer's snapshot at its bytes a second", "s", r.value("limits.start_s"), start.terms)
}

func (r *estimator) core() {
	x := r.rates()
	ingresses, nodes := r.value("size.ingresses"), r.value("core.nodes_with_beats")
	serverHeartbeats := r.value("size.servers") / r.value("size.beat_s") / nodes
	keepers := r.value("counters.nodes")
	calls := ingresses * x.counterCalls / keepers
	subscribers := ingresses * r.value("news.sources") / r.value("news.source_nodes")
	sending := subscribers * r.value("news.copies") / r.value("news.sources") // of whom so many get the news itself
	lines := r.value("size.servers") * r.value("core.servers")
	part := r.changeShare()
	shown := max(r.value("agent.servers"), r.value("proxy.servers"))

	memory := &demand{estimator: r}
	for _, k := range []struct{ name, series string }{{"routes", "store.route"}, {"tenants", "store.tenant"},
		{"services", "store.service"}} {
		memory.add(k.name, r.unitCost(k.series), r.value("size."+k.name)*r.value("core."+k.name))
	}
	memory.add("servers", r.unitCost("store.line")+r.unitCost("registry.line"), lines)
	memory.add("counters, by tenant", r.unitCost("tally.name"), min(r.value("size.tenants")/keepers, calls*60))
	memory.add("counters, by further holder", r.unitCost("tally.holder.each"), calls*r.value("counters.keep_s"))
	memory.add(
		"tombstones",
		r.unitCost("store.tombstone"),
		r.value("size.changes_per_day")*r.value("news.dropped")*r.value("news.tombstone_days"),
	)
	increase(memory.terms, r.value("core.gc_percent"))
	memory.add("fixed", r.value("core.fixed_bytes"), 1)
	r.require("control", "memory", "B", r.value("limits.core.memory"), memory.terms)

	work := &demand{estimator: r}
	work.addOperations("beats taken, without HTTP", "registry.beat", lines, serverHeartbeats)
	work.addUnits("beats told to others", "write.heard", serverHeartbeats*r.value("core.told"))
	work.addUnits("beats of others read", "read.heard", serverHeartbeats*r.value("core.told"))
	work.addOperations("beats of others taken", "registry.heard", lines, serverHeartbeats*r.value("core.told"))
	work.addUnits("heartbeats to agents", "write.beat", subscribers*heartbeats)
	work.addUnits("renewals of agents", "read.renew", subscribers*heartbeats)
	work.addUnits("changes to agents", "write.tenant", x.changes*part*sending)
	work.addUnits("frames of changes to agents", "write.beat", x.changes*part*sending)
	work.addUnits("lines to agents", "write.line", x.instances*shown*sending)
	work.addOperations("changes checked", "change.check", max(1, r.value("size.routes")), x.changes)
	work.addOperations("changes kept", "change.store", max(1, r.value("size.tenants")*r.value("core.tenants")), x.changes)
	work.addOperations("changes chosen", "ballot.change", r.value("core.voters"), x.changes)
	work.addOperations("changes to disk", "vault.save", 1, 2*x.changes)
	work.addOperations("counter calls kept", "tally.add", max(1, r.value("size.tenants")/keepers), calls)
	work.addUnits("counter calls: written", "write.count", calls/2)
	work.addUnits("counter calls: read", "read.count", calls/2)
	work.addCollector(r.value("core.gc_percent"))
	r.require("control", "processor, without system calls and HTTP", "core", r.value("limits.core.cpu"), work.terms)

	segment := r.value("wire.segment")
	wire := &demand{estimator: r}
	wire.add("beats of servers, a call and its answer", r.value("wire.beat_http")+2*segment, serverHeartbeats)
	wire.add("beats told, both ways", r.unitCost("wire.heard"), 2*serverHeartbeats*r.value("core.told"))
	wire.add(
		"heartbeats and renewals of agents",
		r.unitCost("wire.beat")+r.unitCost("wire.renew")+2*segment,
		subscribers*heartbeats,
	)
	wire.add("changes to agents", r.unitCost("wire.tenant")+r.unitCost("wire.beat")+segment, x.changes*part*sending)
	wire.add("lines to agents", r.unitCost("wire.line")+segment, x.instances*shown*sending)
	call := r.value("counters.call_bytes")
	if call == 0 {
		call = r.unitCost("wire.count")
	}
	wire.add("counter calls", call+2*segment/r.value("counters.batch"), calls)
	r.require("control", "bytes a second", "B/s", r.value("limits.core.bytes_per_s"), wire.terms)

	r.require(
		"control",
		"tenants' counters of one keeper (tally.Names)",
		"",
		1<<17,
		[]Term{{"tenants of the minute", 1, min(r.value("size.tenants")/keepers, calls*60)}},
	)
	r.require("control", "lines of one registry (lines.MostLines)", "", 1<<19, []Term{{"servers", 1, lines}})
	first := &demand{estimator: r}
	for _, k := range []struct{ name, series string }{{"routes", "wire.route"}, {"tenants", "wire.tenant"},
		{"services", "wire.service"}} {
		first.add(k.name, r.unitCost(k.series), r.value("size."+k.name))
	}
	r.require(
		"control",
		"the first call, one frame between voters (trunk.MaxWhole)",
		"B",
		r.value("wire.first_call"),
		first.terms,
	)
	grave := &demand{estimator: r}
	grave.add(
		"tombstones",
		r.unitCost("store.tombstone")*(1+r.value("core.gc_percent")/100),
		r.value("size.changes_per_day")*r.value("news.dropped")*r.value("size.days"),
	)
	if r.value("news.tombstone_days") == 0 { // they are never collected
		r.require("control", "tombstones after all days, in each copy", "B", r.value("limits.core.memory"), grave.terms)
	}
}

func (r *estimator) times() {
	speed := r.value("limits.ingress.speed")
	x := r.rates()
	asking := min(x.requests*60*r.value("proxy.tenants_a_request"), r.value("size.tenants"))
	stall := &demand{estimator: r}
	stall.add("servers known", r.unitCost("tick.servers")/speed, r.value("size.servers")*r.value("proxy.servers"))
	stall.add("tenants of the minute", r.unitCost("tick.thin")/speed, asking)
	stall.add("tenants with a slice", r.unitCost("tick.sliced")/speed, r.value("counters.tenants_sliced"))
	r.require("proxy", "a tick, in which no request is decided", "s", r.value("limits.added_s"), stall.terms)

	find := &demand{estimator: r}
	find.add("route found", r.costAt("lookup.route", max(1, r.value("size.routes")*r.value("proxy.routes")))/speed, 1)
	find.add("tenant found", r.costAt("lookup.tenant", max(1, r.value("size.tenants")*r.value("proxy.tenants")))/speed, 1)
	find.add("request decided", r.costAt("request.servers", r.value("proxy.largest_group"))/speed, 1)
	r.require("proxy", "a request found and decided, by itself", "s", r.value("limits.added_s"), find.terms)

	subscribers := r.value("size.ingresses") * r.value("news.copies") / r.value("news.source_nodes")
	way := &demand{estimator: r}
	way.add("rounds of the voters", r.value("core.rtt_s"), 2)
	way.add("syncs", r.value("core.sync_s"), 2)
	way.add("to the sources and the agents", r.value("core.rtt_s")/2, 2)
	way.add(
		"frames to all subscribers of a node",
		(r.unitCost("write.beat")+r.unitCost("write.tenant"))/max(1e-3, r.value("limits.core.cpu")),
		subscribers,
	)
	r.require("all", "a change in force, calm, nothing waiting", "s", r.value("limits.change_s"), way.terms)
}

// Estimate reckons the needs at the size of the plan, and for each up to which part of that size it keeps its limit. It
// errs where the run lacks a slope.
func (p *Plan) Estimate(run *costmodel.Run) (*Report, error) {
	rows, err := p.estimate(run)
	if err != nil {
		return nil, err
	}
	need := func(times float64, n int) float64 {
		at, _ := p.scaledBy(times).estimate(run)
		return at[n].Need - at[n].Limit
	}
	for n := range rows {
		rows[n].MaxScale = maxScale(func(times float64) bool { return need(times, n) > 0 })
	}
	return &Report{Plan: p, Run: run, Requirements: rows}, nil
}

// Sizes at which it is looked for the one where a limit is reached, as parts of the planned one.
const minScale, scaleBound = 1e-5, 1e3

// maxScale is the largest part at which over is false: needs only grow with the size. 0: over at any; infinite: at none.
func maxScale(over func(times float64) bool) float64 {
	low, high := math.Log(minScale), math.Log(scaleBound)
	if over(minScale) {
		return 0
	}
	if !over(scaleBound) {
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
