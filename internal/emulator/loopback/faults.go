package loopback

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration // since the traffic began
	Name   string
	Target int // which machine, from 0, of those that it may strike
}

const (
	suspendTime = 4 * time.Second
	partitionTime    = 8 * time.Second
	unresponsiveTime   = 3 * time.Second
	badResponseTime    = 2 * time.Second // servers answer wrongly
	hotTime    = 6 * time.Second
	badResponseRate  = 0.15 // of a server's answers
)

// faultKind is a fault by its name.
type faultKind struct {
	help string
	play func(f *cluster, target int)
}

var faults map[string]faultKind

func init() {
	faults = map[string]faultKind{
		"kill-proxy": {
			"a proxy is killed",
			func(f *cluster, n int) { m := f.edgeOf(n); m.crash([]*process{m.process(proxyProgram)}, nil) },
		},
		"kill-agent": {
			"an agent is killed",
			func(f *cluster, n int) { m := f.edgeOf(n); m.crash([]*process{m.process(agentProgram)}, nil) },
		},
		"kill-edge": {
			"a proxy and its agent are killed",
			func(f *cluster, n int) { m := f.edgeOf(n); m.crash(m.processes, nil) },
		},
		"kill-core": {"a core node is killed", func(f *cluster, n int) { m := f.coreOf(n); m.crash(m.processes, nil) }},
		"kill-all-core": {"all core nodes are killed at once", func(f *cluster, n int) {
			f.blackout(nil)
		}},
		"wipe-core": {"a core node loses its disk right after it has acknowledged a change", func(f *cluster, n int) {
			f.changeRoute(f.classes[0])
			m := f.lastAcknowledger.Load()
			m.crash(m.processes, m.wipeDisk)
		}},
		"blackout": {
			"all core nodes are killed right after a change is acknowledged, and the one that did so loses its disk",
			func(f *cluster, n int) {
				f.changeRoute(f.classes[0])
				f.blackout(f.lastAcknowledger.Load())
			},
		},
		"roll-core": {"core nodes get SIGTERM one after the other", func(f *cluster, n int) {
			for _, m := range f.core {
				m.restart()
				f.sleepInTraffic(2 * time.Second)
			}
		}},
		"roll-edge": {"edge machines get SIGTERM one after the other", func(f *cluster, n int) {
			for _, m := range f.edge {
				m.restart()
				f.sleepInTraffic(2 * time.Second)
			}
		}},
		"roll-one": {"an edge machine gets SIGTERM", func(f *cluster, n int) { f.edgeOf(n).restart() }},
		"cut-core": {"a core node is cut off from the others for 8 s, and asked all along", func(f *cluster, n int) {
			m := f.coreOf(n)
			m.partition(f.otherCore(m), bothWays)
		}},
		"cut-one-way": {"what a core node sends to the others does not arrive for 8 s", func(f *cluster, n int) {
			m := f.coreOf(n)
			m.partition(f.otherCore(m), outward)
		}},
		"cut-deaf": {"a core node is sent nothing by the others for 8 s", func(f *cluster, n int) {
			m := f.coreOf(n)
			m.partition(f.otherCore(m), inward)
		}},
		"cut-all": {
			"a core node is cut off from the others and from all agents for 8 s; an edge machine is restarted meanwhile",
			func(f *cluster, n int) {
				m := f.coreOf(n)
				f.faultRuns.Go(func() {
					if f.sleepInTraffic(partitionTime / 4) {
						f.edgeOf(n).restart()
					}
				})
				m.partition(append(f.otherCore(m), f.edge...), bothWays)
			},
		},
		"cut-restart": {
			"a core node is cut off for 8 s and killed in the midst of it, and then the others are, one after the other",
			func(f *cluster, n int) {
				m := f.coreOf(n)
				f.faultRuns.Go(func() {
					if f.sleepInTraffic(partitionTime / 2) {
						m.crash(m.processes, nil)
					}
				})
				m.partition(f.otherCore(m), bothWays)
				for _, o := range f.otherCore(m) {
					if f.sleepInTraffic(time.Duration(f.options.Bounds.CatchUp * float64(time.Second))) {
						o.crash(o.processes, nil)
					}
				}
			},
		},
		"cut-edge": {"an edge machine is cut off from all core nodes for 3 s", func(f *cluster, n int) {
			m := f.edgeOf(n)
			over := f.recorder.beginFault(invariants.Fault{Machine: m.name, From: f.now()})
			heal := f.cutLinks(m, f.core, bothWays)
			f.sleepInTraffic(unresponsiveTime)
			heal()
			over(f.now())
		}},
		"retire-core": {"a core node goes for good", func(f *cluster, n int) { f.coreOf(n).retire() }},
		"freeze-core": {"a core node stands still for 4 s", func(f *cluster, n int) { f.coreOf(n).suspend(suspendTime) }},
		"crash": {"a server crashes, and another comes", func(f *cluster, n int) {
			if s := f.serverOf(n); s != nil {
				s.crash()
				f.sleepInTraffic(time.Second)
				f.startLike(s, "127.0.0.1:0")
			}
		}},
		"reuse": {"a server crashes, and its address goes to one of another service", func(f *cluster, n int) {
			if s := f.serverOf(n); s != nil {
				s.crash()
				f.sleepInTraffic(time.Duration(f.options.Bounds.ReuseAfter*float64(time.Second)) + 50*time.Millisecond)
				for _, name := range f.serviceNames() {
					if name != s.service {
						f.startLike(&server{service: name, zone: s.zone, generation: s.generation}, s.addr)
						break
					}
				}
				f.startLike(s, "127.0.0.1:0")
			}
		}},
		"dark": {"a server neither reads nor answers for 3 s", func(f *cluster, n int) {
			if s := f.serverOf(n); s != nil {
				s.blackHole(unresponsiveTime)
			}
		}},
		"release": {"the servers of a service are replaced, new ones first", func(f *cluster, n int) {
			names := f.serviceNames()
			for _, s := range f.serversOf(names[n%len(names)]) {
				f.startLike(&server{service: s.service, zone: s.zone, generation: "v2"}, "127.0.0.1:0")
				if !f.sleepInTraffic(200 * time.Millisecond) {
					return
				}
				f.faultRuns.Go(s.depart)
				f.sleepInTraffic(300 * time.Millisecond)
			}
		}},
		"scale-in": {"a server leaves in order", func(f *cluster, n int) {
			if s := f.serverOf(n); s != nil {
				s.depart()
			}
		}},
		"lose":    {"answers are lost after their requests ran", badResponses(loseResponse)},
		"reset":   {"connections are reset while their requests run", badResponses(resetConn)},
		"garble":  {"servers send bytes that are no answer", badResponses(garbleResponse)},
		"cut":     {"answers end in the middle", badResponses(truncateResponse)},
		"surplus": {"answers come a second time, late", badResponses(repeatResponse)},
		"config": {"the configuration changes a few times", func(f *cluster, n int) {
			for range 4 {
				f.changeRoute(f.classes[f.intn(len(f.classes))])
				if !f.sleepInTraffic(300 * time.Millisecond) {
					return
				}
			}
		}},
		"race":    {"two operators change a route at once, under one version", func(f *cluster, n int) { f.raceOperators() }},
		"invalid": {"invalid configurations are sent", func(f *cluster, n int) { f.sendInvalid() }},
		"revoke": {"a key is taken away, and another given", func(f *cluster, n int) {
			t := f.tenants[n%len(f.tenants)]
			t.mu.Lock()
			old := t.keys[0]
			t.keys = append(slices.Clone(t.keys[1:]), fmt.Sprintf("knew%x", f.intn(1<<30)))
			fresh := t.keys[len(t.keys)-1]
			kept := t.keys[0]
			full := t.keys
			t.keys = []string{kept} // what clients use until the new one is in force
			t.mu.Unlock()
			i := t.item()
			i.body["apiKeys"] = full
			if f.operator.submit(i) != 200 {
				return
			}
			r := f.liveRoutes(f.classes[0])[0]
			f.addCanaries(oddity{r, old}, oddity{r, fresh})
			f.sleepInTraffic(time.Duration(f.options.Bounds.ConfigApply * float64(time.Second)))
			t.mu.Lock()
			t.keys = full
			t.mu.Unlock()
		}},
		"hot": {"a tenant sends eight times its usual, for 6 s", func(f *cluster, n int) {
			f.hotTenant.Store(f.tenants[n%2])
			f.sleepInTraffic(hotTime)
			f.hotTenant.Store(nil)
		}},
	}
}

// Names is the names of all faults, with what they are.
func Names() (names, help []string) {
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		help = append(help, faults[name].help)
	}
	return names, help
}

// ParseSchedule reads a schedule: the name of a file with lines "SECONDS NAME [TARGET]", where # begins what says nothing,
// or names joined by commas (any: one by chance), which get times between a tenth and seven tenths of the play, and
// targets, by the seed.
func ParseSchedule(text string, span time.Duration, seed uint64) ([]Fault, error) {
	if text == "" {
		return nil, nil
	}
	var list []Fault
	if file, err := os.Open(text); err == nil {
		defer file.Close()
		in := bufio.NewScanner(file)
		for n := 1; in.Scan(); n++ {
			line, _, _ := strings.Cut(in.Text(), "#")
			words := strings.Fields(line)
			if len(words) == 0 {
				continue
			}
			x := Fault{}
			at, err := strconv.ParseFloat(words[0], 64)
			if err != nil || at < 0 || len(words) < 2 || len(words) > 3 {
				return nil, fmt.Errorf("%s:%d: not \"SECONDS NAME [TARGET]\"", text, n)
			}
			x.At, x.Name = time.Duration(at*float64(time.Second)), words[1]
			if len(words) == 3 {
				if x.Target, err = strconv.Atoi(words[2]); err != nil || x.Target < 0 {
					return nil, fmt.Errorf("%s:%d: the target is not a number from 0", text, n)
				}
			}
			if _, ok := faults[x.Name]; !ok {
				return nil, fmt.Errorf("%s:%d: no fault is named %q", text, n, x.Name)
			}
			list = append(list, x)
		}
		return list, in.Err()
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	all, _ := Names()
	for name := range strings.SplitSeq(text, ",") {
		if name == "any" {
			name = all[rng.IntN(len(all))]
		}
		if _, ok := faults[name]; !ok {
			return nil, fmt.Errorf("%q is neither a file nor the name of a fault", name)
		}
		list = append(
			list,
			Fault{At: time.Duration((0.1 + 0.6*rng.Float64()) * float64(span)), Name: name, Target: rng.IntN(1 << 10)},
		)
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
	return list, nil
}

func (cl *cluster) edgeOf(n int) *machine { return cl.edge[n%len(cl.edge)] }
func (cl *cluster) coreOf(n int) *machine { return cl.core[n%len(cl.core)] }

// otherCore is the core nodes but one.
func (cl *cluster) otherCore(m *machine) []*machine {
	return slices.DeleteFunc(slices.Clone(cl.core), func(o *machine) bool { return o == m })
}

func (cl *cluster) serviceNames() (names []string) {
	for _, c := range cl.classes {
		names = append(names, c.service)
	}
	return names
}

// serversOf is the servers of a service that serve; of all services where none is named.
func (cl *cluster) serversOf(service string) (list []*server) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, s := range cl.servers {
		if (service == "" || s.service == service) && s.ctx.Err() == nil && !s.draining.Load() {
			list = append(list, s)
		}
	}
	return list
}

func (cl *cluster) serverOf(n int) *server {
	list := cl.serversOf("")
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// startLike starts a server like another one.
func (cl *cluster) startLike(s *server, addr string) {
	if _, err := cl.startServer(s.service, s.zone, addr, s.generation); err != nil {
		cl.recorder.notef("a server was not started: %v", err)
	}
}

func badResponses(what responseFault) func(f *cluster, n int) {
	return func(f *cluster, _ int) {
		list := f.serversOf("")
		for _, s := range list {
			s.setFaultRate(what, badResponseRate)
		}
		f.sleepInTraffic(badResponseTime)
		for _, s := range list {
			s.setFaultRate(what, 0)
		}
	}
}

// wipeDisk empties a machine's disk, where the system is to bear that: one disk at a time, counting until the machine has
// caught up.
func (m *machine) wipeDisk() {
	f := m.cluster
	f.mu.Lock()
	bearable := len(f.core) >= 3 &&
		(f.diskLost == nil || f.diskLost == m || f.now() > f.diskLostAt+f.options.Bounds.CatchUp+restartDelay.Seconds())
	if bearable {
		f.diskLost, f.diskLostAt = m, f.now()
	}
	f.mu.Unlock()
	if !bearable {
		f.recorder.notef("the disk of %s stays: the loss of another is not over", m.name)
		return
	}
	if err := os.RemoveAll(m.diskPath()); err != nil {
		f.recorder.notef("%s: %v", m.name, err)
	}
	if err := os.MkdirAll(m.diskPath(), 0o700); err != nil {
		f.recorder.notef("%s: %v", m.name, err)
	}
}

// blackout kills all core nodes, wipes one disk (nil: none), and starts them again.
func (cl *cluster) blackout(wiped *machine) {
	over := cl.recorder.beginFault(invariants.Fault{Machine: "core", Core: true, Majority: true, From: cl.now()})
	cl.recorder.update(func() { cl.recorder.log.Closing = cl.now() })
	var dead, back sync.WaitGroup
	dead.Add(len(cl.core))
	for _, m := range cl.core {
		back.Go(func() {
			m.crash(m.processes, func() {
				if m == wiped {
					m.wipeDisk()
				}
				dead.Done()
				dead.Wait()
			})
		})
	}
	back.Wait()
	over(cl.now())
}

// changeRoute makes one changeRoute by chance: it moves a route and back, splits one, adds one, drops one that was added, or
// changes its times.
func (cl *cluster) changeRoute(c *requestClass) {
	list := cl.liveRoutes(c)
	r := list[cl.intn(2)] // of the first ones
	switch cl.intn(5) {
	case 0:
		cl.operator.submit(r.item(c.alternate))
		cl.addCanaries(oddity{route: r})
	case 1:
		cl.operator.submit(r.item(c.service))
		cl.addCanaries(oddity{route: r})
	case 2:
		i := r.item(c.service)
		delete(i.body, "backend")
		i.body["weighted"] = []body{{"backend": c.service, "share": 60}, {"backend": c.alternate, "share": 40}}
		cl.operator.submit(i)
		cl.addCanaries(oddity{route: r})
	case 3:
		if len(list) > 2 {
			removed := list[len(list)-1]
			cl.mu.Lock()
			cl.live[c] = slices.DeleteFunc(cl.live[c], func(r *route) bool { return r == removed })
			cl.mu.Unlock()
			cl.addCanaries(oddity{route: removed})
			cl.operator.submit(item{section: "routes", name: removed.name})
			return
		}
		fallthrough
	default:
		n := cl.intn(1 << 16)
		fresh := &route{name: fmt.Sprintf("r-n%04x", n), host: fmt.Sprintf("n%04x.example", n), prefix: "/added/", class: c}
		cl.addCanaries(oddity{route: fresh})
		if cl.operator.submit(fresh.item(c.service)) == 200 {
			cl.faultRuns.Go(func() {
				if cl.sleepInTraffic(time.Duration(cl.options.Bounds.ConfigApply * float64(time.Second))) {
					cl.mu.Lock()
					cl.live[c] = append(cl.live[c], fresh)
					cl.mu.Unlock()
				}
			})
		}
	}
}

// raceOperators has two operators change a route at the same time, under one version, at two nodes.
func (cl *cluster) raceOperators() {
	c := cl.classes[0]
	r := cl.liveRoutes(c)[0]
	number := cl.operator.nextVersion()
	cl.addCanaries(oddity{route: r})
	var both sync.WaitGroup
	for n, service := range []string{c.service, c.alternate} {
		both.Go(func() { cl.operator.send(n, true, withVersion(r.item(service), number)) })
	}
	both.Wait()
}

// sendInvalid sends configurations that are sendInvalid; each has a route in it that would work, if any part took effect.
func (cl *cluster) sendInvalid() {
	c := cl.classes[0]
	r := cl.liveRoutes(c)[0]
	for n, spoil := range []func(body){
		func(b body) { b["backend"] = "nosuch" }, func(b body) { b["deadlineMs"] = 0 },
		func(b body) { b["pathPrefix"] = "bare/" },
		func(b body) { b["authority"] = "" }, func(b body) { b["routeKind"] = "odd" },
		func(b body) { b["authority"], b["pathPrefix"] = r.host, r.prefix },
	} {
		tag := fmt.Sprintf("%d%04x", n, cl.intn(1<<16))
		canary := &route{name: "r-c" + tag, host: "c" + tag + ".example", prefix: "/canary/", class: c}
		bad := (&route{name: "r-b" + tag, host: "b" + tag + ".example", prefix: "/bad/", class: c}).item(c.service)
		spoil(bad.body)
		number := cl.operator.nextVersion()
		cl.addCanaries(oddity{route: canary})
		cl.operator.send(cl.intn(len(cl.core)), false, withVersion(canary.item(c.service), number), withVersion(bad, number))
		if !cl.sleepInTraffic(100 * time.Millisecond) {
			return
		}
	}
}
