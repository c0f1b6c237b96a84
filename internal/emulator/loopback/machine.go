package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/invariants"
)

// The programs, as they are named in the folder of programs.
const (
	proxyProgram = "proxy"
	agentProgram = "agent"
	coreProgram  = "control"
)

const (
	restartDelay  = 300 * time.Millisecond // after which a process that ended is started again
	innerPorts = 4                      // inner ports
	maxLogTail   = 400                    // bytes of a log's end that are shown
	queryInterval   = 120 * time.Millisecond // a node that is cut off
)

// ports are those of the day: the same on all machines.
type ports struct{ front, ready, control, inner int }

// machine is one of the simulated machines: an address of loopback, a folder for settings and logs, one for the disk,
// and processes.
type machine struct {
	cluster        *cluster
	name, ip string
	zone     int
	core     bool
	dir      string
	processes    []*process
	lifecycle sync.Mutex // one change of what runs at a time
	links    []string   // that are cut, under the floor's mu
}

// drawPorts finds ports that are free on all machines. They lie below those that the kernel gives to connections.
func drawPorts(rng *rand.Rand, ips []string) (ports, error) {
	free := func(port int) bool {
		for _, ip := range ips {
			l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
		return true
	}
	for range 200 {
		at := 10000 + rng.IntN(20000)
		p := ports{front: at, ready: at + 1, control: at + 2, inner: at + 3}
		ok := true
		for n := 0; ok && n < 3+innerPorts; n++ {
			ok = free(at + n)
		}
		if ok {
			return p, nil
		}
	}
	return ports{}, errors.New("no ports are free on all machines")
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) settingsPath(program string) string { return filepath.Join(m.dir, program+".conf") }

func (m *machine) diskPath() string { return filepath.Join(m.dir, "disk") }

// writeSettings writes the settings files of the machine's processes.
func (m *machine) writeSettings(bootstrap bool) error {
	f, b := m.cluster, m.cluster.options.Bounds
	var seeds []string
	for _, c := range f.core[:min(3, len(f.core))] {
		seeds = append(seeds, c.address(f.ports.control))
	}
	for _, p := range m.processes {
		var s strings.Builder
		line := func(key string, value any) { fmt.Fprintf(&s, "%s=%v\n", key, value) }
		class, serving := "edge", "edge"
		if m.core {
			class, serving = "core", "control"
		} else if p.program == agentProgram {
			serving = ""
		}
		line("self.nodeName", m.name)
		line("self.role", p.program)
		line("self.machineClass", class)
		line("self.serving", serving)
		line("self.hostIp", m.ip)
		line("self.zone", zoneName(m.zone))
		line("self.region", "floor")
		line("self.lossCounted", m.core)
		line("self.bootstrap", bootstrap)
		line("self.limits.cpuFraction", 0.4)
		line("self.limits.coreCount", 1)
		line("self.limits.memoryMb", 284)
		line("self.limits.maxFds", 4100)
		line("self.limits.linkMbps", 1000)
		if m.core {
			line("self.dataPath", m.diskPath())
			line("self.limits.diskMb", 256)
			line("network.bind.controlAddr", m.address(f.ports.control))
		} else if p.program == proxyProgram {
			line("network.bind.frontAddr", m.address(f.ports.front))
			line("network.bind.readyAddr", m.address(f.ports.ready))
		}
		line("network.innerPortRange", fmt.Sprintf("%d,%d", f.ports.inner, f.ports.inner+innerPorts-1))
		line("network.seedNodes", strings.Join(seeds, ","))
		for z := range zones {
			line("network.zones."+zoneName(z), "floor")
		}
		line("platform.discoverySource", "self_register")
		line("platform.entryKind", "vip")
		line("platform.beatMs", f.options.HeartbeatInterval.Milliseconds())
		line("platform.configMode", "parts")
		line("terms.clauses", "base,drain,config,cost,retry,recover,tenants,quota")
		line("terms.tolerance.machineLosses", min(1, (len(f.core)-1)/2))
		for _, set := range []struct {
			key   string
			value float64
		}{
			{"seedLagS", b.SeedLag}, {"reuseAfterS", b.ReuseAfter}, {"contactMs", 1000 * b.Contact}, {"ackMs", 1000 * b.Ack},
			{"catchUpS", b.CatchUp},
			{"drainMs", 1000 * b.Drain}, {"graceS", b.Grace}, {"lossSlackMs", 1000 * b.LossSlack},
			{"configApplyMs", 1000 * b.ConfigApply},
			{"revertSlackMs", 1000 * b.RevertSlack}, {"stretchMaxMs", 1000 * b.MaxStretch}, {"revokeMs", 1000 * b.Revoke},
			{"retryRatio", b.RetryRatio}, {"retryWindowS", b.RetryWindow}, {"retrySlack", b.RetrySlack},
			{"quotaWindowS", b.QuotaWindow},
			{"quotaExcess", b.QuotaExcess}, {"quotaSlack", b.QuotaSlack}, {"recoveryS", b.Recovery},
		} {
			line("terms.bounds."+set.key, set.value)
		}
		line("terms.bounds.revokeGlobal", b.RevokeGlobal)
		path := m.settingsPath(p.program)
		if err := os.WriteFile(path+".new", []byte(s.String()), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil { // whoever reads it meanwhile sees a whole one
			return err
		}
	}
	return nil
}

func (m *machine) linksPath() string { return filepath.Join(m.dir, "links") }

// direction is which direction of a link is cut, seen from the machine that is named first.
type direction int

const (
	bothWays direction = iota
	outward      // what it sends
	inward       // what it is sent
)

// cutLinks cuts the links between a machine and others, and returns what makes them whole again. A process obeys for the
// connections that it opened, so both ends are told.
func (cl *cluster) cutLinks(m *machine, others []*machine, w direction) (heal func()) {
	words := func(far *machine, w direction) string { return [...]string{"both ", "to ", "from "}[w] + far.ip }
	back := [...]direction{bothWays, inward, outward}[w]
	set := func(add bool) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		for _, o := range others {
			for _, end := range []struct {
				at   *machine
				line string
			}{{m, words(o, w)}, {o, words(m, back)}} {
				if i := slices.Index(end.at.links, end.line); add {
					end.at.links = append(end.at.links, end.line)
				} else if i >= 0 {
					end.at.links = slices.Delete(end.at.links, i, i+1)
				}
			}
		}
		for _, at := range append([]*machine{m}, others...) {
			if err := at.writeLinks(); err != nil {
				cl.recorder.notef("%s: %v", at.name, err)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// writeLinks writes what a machine's links are.
func (m *machine) writeLinks() error {
	path := m.linksPath()
	if err := os.WriteFile(path+".new", []byte(strings.Join(m.links, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// process is the machine's process of a program.
func (m *machine) process(program string) *process {
	for _, p := range m.processes {
		if p.program == program {
			return p
		}
	}
	panic("floor: " + m.name + " runs no " + program)
}

// start starts all that runs on a machine.
func (m *machine) start() error {
	for _, p := range m.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// crash kills processes of a machine and starts them again, after what is to be done while they are gone. It counts
// as trouble till then.
func (m *machine) crash(procs []*process, meanwhile func()) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	over := m.cluster.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, From: m.cluster.now()})
	for _, p := range procs {
		p.kill()
	}
	if meanwhile != nil {
		meanwhile()
	}
	m.cluster.sleep(restartDelay)
	for _, p := range procs {
		p.start()
	}
	over(m.cluster.now())
}

// restart ends all that runs on a machine with SIGTERM, and starts it again.
func (m *machine) restart() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	over := m.cluster.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, Planned: true, From: m.cluster.now()})
	if !m.core {
		m.cluster.recorder.termination(m.name, m.cluster.now())
	}
	var all sync.WaitGroup
	for _, p := range m.processes {
		all.Go(func() {
			if p.terminate(m.cluster.gracePeriod()) {
				m.cluster.recorder.notef("%s on %s did not end within the grace after SIGTERM", p.program, m.name)
			}
		})
	}
	all.Wait()
	m.cluster.sleep(restartDelay)
	for _, p := range m.processes {
		p.start()
	}
	over(m.cluster.now())
}

// suspend stops the machine's processes for a while.
func (m *machine) suspend(span time.Duration) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	over := m.cluster.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, From: m.cluster.now()})
	for _, p := range m.processes {
		p.signal(unix.SIGSTOP, false)
	}
	m.cluster.sleepInTraffic(span)
	for _, p := range m.processes {
		p.signal(unix.SIGCONT, false)
	}
	over(m.cluster.now())
}

// partition partitions a core node from others for cutFor. From some time on it must say nothing as if it were current:
// it is asked all along, as servers and operators ask, and what it answers is judged. Meanwhile changes are ordered
// at all nodes.
func (m *machine) partition(others []*machine, w direction) {
	f := m.cluster
	over := f.recorder.beginFault(invariants.Fault{Machine: m.name, Core: true, From: f.now()})
	heal := f.cutLinks(m, others, w)
	c := invariants.Partition{Machine: m.name, From: f.now()}
	until := time.Now().Add(partitionTime)
	answers := map[int]int{}
	for n := 0; time.Now().Before(until); n++ {
		answers[m.queryPartitioned(n)]++
		if n%4 == 0 {
			f.changeRoute(f.classes[f.intn(len(f.classes))])
		}
		if !f.sleepInTraffic(queryInterval) {
			break
		}
	}
	c.To = f.now()
	f.recorder.update(func() { f.recorder.log.Partitions = append(f.recorder.log.Partitions, c) })
	heal()
	over(f.now())
	f.recorder.notef("%s, cut off, answered (by status; 0: no acknowledgement): %v", m.name, answers)
}

// queryPartitioned asks a core node what it may say only in contact with a majority, each thing in turn, and returns the status;
// 0: none.
func (m *machine) queryPartitioned(n int) int {
	f := m.cluster
	said := invariants.ControlAnswer{Machine: m.name, Began: f.now()}
	switch n % 4 {
	case 0:
		said.Call = "configuration read"
		said.Status, _ = f.operator.call(http.MethodGet, m, nil, callTimeout)
	case 1:
		said.Call = "order that stands"
		i := f.tenants[0].item()
		f.operator.mu.Lock()
		if known, ok := f.operator.sent[i.key()]; ok {
			i = known
		}
		f.operator.mu.Unlock()
		said.Status, _ = f.operator.call(http.MethodPatch, m, encodePatch([]item{i}), callTimeout)
	case 2:
		said.Call = "order that cannot be read"
		said.Status, _ = f.operator.call(http.MethodPatch, m, []byte("{"), callTimeout)
	case 3:
		said.Call = "beat"
		if s := f.serverOf(n); s != nil {
			if _, _, ok := s.callControl(m.address(f.ports.control), http.MethodPut, "serving"); ok {
				said.Status = http.StatusOK
			}
		}
	}
	said.Done = f.now()
	f.recorder.update(func() { f.recorder.log.ControlAnswers = append(f.recorder.log.ControlAnswers, said) })
	return said.Status
}

// retire ends what runs on a machine for good.
func (m *machine) retire() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	m.cluster.recorder.beginFault(invariants.Fault{Machine: m.name, Core: m.core, From: m.cluster.now()})(m.cluster.now())
	for _, p := range m.processes {
		p.kill()
	}
}
