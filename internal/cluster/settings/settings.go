package settings

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

// Settings is the settings of one process, checked. It is shared and never changed. Times are in seconds.
type Settings struct {
	Node        string
	Role        string // its name in the deploy file
	Class       string // of the machine: edge or core
	Serving     []string
	Host        string // the machine's IPv4 address
	Zone        string
	Region      string
	LossCounted bool   // the machine is one of those whose loss the tolerance counts
	Bootstrap   bool   // the whole system starts for the first time, with empty disks
	DataPath    string // folder on the machine's disk; empty: it has none
	Limits      Limits

	FrontAddr, ReadyAddr, ControlAddr string // host:port that what it serves is bound to; empty where it does not serve it
	InnerFirst, InnerLast             int    // ports for what the system's processes say to one another
	Seeds                             []string
	Zones                             map[string]string // region of each zone

	HeartbeatInterval float64         // between two calls of a server
	Clauses           map[string]bool // parts of the rules that are in force
	Tolerance         Tolerance
	Bounds            Bounds
}

// Limits is what the process may use.
type Limits struct {
	CPUFraction float64 // of a core
	Cores       float64 // how much faster than one core it is
	MemoryMB    int     // over it the process is killed; 0: not told
	MaxFDs      int     // 0: not told
	LinkMbps    float64 // 0: not told
	DiskMB      int
}

// Tolerance is how much may be lost at one time while every rule is kept.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds is the figures of the rules. RULES names each; times are in seconds.
type Bounds struct {
	SeedLag      float64 // by which the callers' list of control nodes is behind
	ReuseAfter   float64 // before the address of a server that ended goes to another
	Contact      float64 // that a machine was well before it counts as in touch
	Ack          float64 // within which a proper call of the operator is acknowledged
	CatchUp      float64 // that a machine counts as lost after its return
	Drain        float64 // after a leave was acknowledged, until nothing more reaches the server
	Grace        float64 // between SIGTERM and SIGKILL
	LossSlack    float64 // after the last byte of a request, in which its connection may end without an answer
	ConfigApply  float64 // after an acknowledgement, until nothing older is in force
	RevertSlack  float64 // after an effect was seen, until nothing older is in force
	MaxStretch   float64 // by which an unsettled core stretches ConfigApply at most
	RevokeGlobal bool
	Revoke       float64
	RetryRatio   float64 // further arrivals at a service, of the requests for it
	RetryWindow  float64
	RetrySlack   float64 // further arrivals in a window beyond RetryRatio
	QuotaWindow  float64
	QuotaExcess  float64 // by which a tenant's quota may be exceeded, of the quota
	QuotaSlack   float64 // requests in a window beyond that
	Recovery     float64 // after machines are back, until requests are served again
}

// Decode reads the text of a file of settings; file is its name, for what is wrong. Unknown fields are passed over; a field that has a
// default may be missing. Errors are Faults.
func Decode(file, text string) (*Settings, error) {
	paths, err := Parse(text)
	if err != nil {
		return nil, err.(SettingErrors).in(file)
	}
	r := &reader{paths: paths}
	r.need("self.nodeName", "self.hostIp", "self.zone", "network.innerPortRange", "network.seedNodes")
	p := &Settings{
		Node: r.text("self.nodeName"), Role: r.text("self.role"), Class: r.text("self.machineClass"), Serving: r.list("self.serving"),
		Host: r.text("self.hostIp"), Zone: r.text("self.zone"), Region: r.text("self.region"), LossCounted: r.flag("self.lossCounted"),
		Bootstrap: r.flag("self.bootstrap"), DataPath: r.text("self.dataPath"),
		Limits: Limits{
			CPUFraction: r.number("self.limits.cpuFraction", 1), Cores: r.number("self.limits.coreCount", 1),
			MemoryMB: r.integer("self.limits.memoryMb", 0), MaxFDs: r.integer("self.limits.maxFds", 0),
			LinkMbps: r.number("self.limits.linkMbps", 0), DiskMB: r.integer("self.limits.diskMb", 0),
		},
		FrontAddr: r.address("network.bind.frontAddr"), ReadyAddr: r.address("network.bind.readyAddr"), ControlAddr: r.address("network.bind.controlAddr"),
		Seeds: r.list("network.seedNodes"), Zones: r.table("network.zones"),
		HeartbeatInterval: r.millis("platform.beatMs", 1.5), Clauses: map[string]bool{},
		Tolerance: Tolerance{Machines: r.integer("terms.tolerance.machineLosses", 0), Zones: r.integer("terms.tolerance.zones", 0),
			Regions: r.integer("terms.tolerance.regionLosses", 0)},
		Bounds: Bounds{
			SeedLag: r.number("terms.bounds.seedLagS", 3), ReuseAfter: r.number("terms.bounds.reuseAfterS", 2),
			Contact: r.millis("terms.bounds.contactMs", 3), Ack: r.millis("terms.bounds.ackMs", 5), CatchUp: r.number("terms.bounds.catchUpS", 4),
			Drain: r.millis("terms.bounds.drainMs", 2.5), Grace: r.number("terms.bounds.graceS", 6),
			LossSlack: r.millis("terms.bounds.lossSlackMs", 0.2), ConfigApply: r.millis("terms.bounds.configApplyMs", 2.5),
			RevertSlack: r.millis("terms.bounds.revertSlackMs", 0.25), MaxStretch: r.millis("terms.bounds.stretchMaxMs", 8),
			RevokeGlobal: r.flag("terms.bounds.revokeGlobal"), Revoke: r.millis("terms.bounds.revokeMs", 5),
			RetryRatio: r.number("terms.bounds.retryRatio", 0.2), RetryWindow: r.number("terms.bounds.retryWindowS", 10),
			RetrySlack: r.number("terms.bounds.retrySlack", 60), QuotaWindow: r.number("terms.bounds.quotaWindowS", 5),
			QuotaExcess: r.number("terms.bounds.quotaExcess", 0.1), QuotaSlack: r.number("terms.bounds.quotaSlack", 20),
			Recovery: r.number("terms.bounds.recoveryS", 15),
		},
	}
	for _, c := range r.list("terms.clauses") {
		p.Clauses[c] = true
	}
	if host, ok := r.given("self.hostIp"); ok {
		if ip, err := netip.ParseAddr(host); err != nil || !ip.Is4() {
			r.fault("self.hostIp", "not an IPv4 address")
		}
	}
	for _, seed := range p.Seeds {
		if !isAddress(seed) {
			r.fault("network.seedNodes", "not a list of addresses with ports")
			break
		}
	}
	if ports := r.list("network.innerPortRange"); ports != nil {
		ok := len(ports) == 2
		if ok {
			first, wrongFirst := strconv.ParseUint(ports[0], 10, 16)
			last, wrongLast := strconv.ParseUint(ports[1], 10, 16)
			p.InnerFirst, p.InnerLast = int(first), int(last)
			ok = wrongFirst == nil && wrongLast == nil && 0 < first && first <= last
		}
		if !ok {
			r.fault("network.innerPortRange", "not two ports, the first and the last")
		}
	}
	if err := r.faults.in(file); err != nil {
		return nil, err
	}
	return p, nil
}

// Require tells whether there is what a program cannot be without, beyond what all need: proxy, agent or control. Errors are Faults.
func (p *Settings) Require(program string) error {
	var faults SettingErrors
	need := func(key, value string) {
		if value == "" {
			faults = append(faults, SettingError{Key: key, Text: "missing, and " + program + " needs it"})
		}
	}
	switch program {
	case "proxy":
		need("network.bind.frontAddr", p.FrontAddr)
		need("network.bind.readyAddr", p.ReadyAddr)
	case "control":
		need("network.bind.controlAddr", p.ControlAddr)
		need("self.dataPath", p.DataPath)
	case "agent":
	default:
		faults = append(faults, SettingError{Text: fmt.Sprintf("no program is named %.40q", program)})
	}
	return faults.in("")
}

// InternalAddr is where this machine is reached by the others of the system, host:port.
func (p *Settings) InternalAddr() string { return net.JoinHostPort(p.Host, strconv.Itoa(p.InnerFirst)) }

// AgentAddr is where the agent on this machine is reached by the proxy beside it, host:port. A machine whose own address is a loopback
// one, as where several stand on one box, has its agent there: 127.0.0.1 would be the same for all of them.
func (p *Settings) AgentAddr() string {
	host := "127.0.0.1"
	if ip, err := netip.ParseAddr(p.Host); err == nil && ip.IsLoopback() {
		host = p.Host
	}
	return net.JoinHostPort(host, strconv.Itoa(p.InnerFirst))
}

// InternalAddrOf is where the control node that serves at this address is reached by the others of the system: ports are the same on all
// machines. Empty where the address is none.
func (p *Settings) InternalAddrOf(controlAddr string) string {
	if !isAddress(controlAddr) {
		return ""
	}
	host, _, _ := net.SplitHostPort(controlAddr)
	return net.JoinHostPort(host, strconv.Itoa(p.InnerFirst))
}
