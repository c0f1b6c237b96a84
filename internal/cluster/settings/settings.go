package settings

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"mulleinrouter/internal/logging"
)

// loopbackHost is the host at which a proxy reaches the agent on the same machine.
const loopbackHost = "127.0.0.1"

// Settings is the validated settings of a process. It is shared and must not be modified. Times are in seconds.
type Settings struct {
	Node        string   // name of this node
	Role        string   // name of the process's role in the deploy file
	Class       string   // class of the machine: edge or core
	Serving     []string // what the machine serves, such as edge and control
	Host        string   // the machine's IPv4 address
	Zone        string   // zone of the machine
	Region      string   // region of the zone
	LossCounted bool     // the tolerance counts the loss of this machine
	Bootstrap   bool     // this is the first start of the system, with empty disks
	DataPath    string   // folder on the machine's disk; empty means no disk
	Limits      Limits

	FrontAddr   string            // host:port for clients; empty means that none are served
	ReadyAddr   string            // host:port of the readiness check; empty means none
	ControlAddr string            // host:port for operators and servers; empty means that none are served
	InnerFirst  int               // first port for the system's own processes; the same on all machines
	InnerLast   int               // last such port
	Seeds       []string          // control addresses of some control nodes
	Zones       map[string]string // region of each zone

	HeartbeatInterval float64         // time between two calls of a server
	Clauses           map[string]bool // names of the clauses of the operators' RULES in force
	Tolerance         Tolerance
	Bounds            Bounds

	Log logging.Settings // the zero value means level info, in logfmt
}

// Limits is the resources that the process may use.
type Limits struct {
	CPUFraction float64 // usable fraction of a core
	Cores       float64 // speed relative to one core
	MemoryMB    int     // megabytes above which the process is killed; 0 means unknown
	MaxFDs      int     // file descriptors; 0 means unknown
	LinkMbps    float64 // megabits per second; 0 means unknown
	DiskMB      int     // megabytes; 0 means unknown
}

// Tolerance is the number of machines, zones and regions that may be lost at the same time while every rule is kept.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds is the limits in the operators' rules (RULES). Times are in seconds.
type Bounds struct {
	SeedLag      float64 // delay of the callers' list of control nodes
	ReuseAfter   float64 // time before the address of a server that ended is assigned to another
	Contact      float64 // time that a machine must be healthy before it counts as in contact
	Ack          float64 // time within which a valid call of the operator is acknowledged
	CatchUp      float64 // time for which a machine counts as lost after its return
	Drain        float64 // time from an acknowledged departure until nothing more reaches the server
	Grace        float64 // time between SIGTERM and SIGKILL
	LossSlack    float64 // time after the last byte of a request in which its connection may end without an answer
	ConfigApply  float64 // time from an acknowledgement until nothing older is in force
	RevertSlack  float64 // time from an observed effect until nothing older is in force
	MaxStretch   float64 // longest extension of ConfigApply by an unstable core
	RevokeGlobal bool
	Revoke       float64
	RetryRatio   float64 // further arrivals at a service, as a fraction of the requests for it
	RetryWindow  float64 // length of the window of RetryRatio and RetrySlack
	RetrySlack   float64 // further arrivals in a window, in addition to RetryRatio
	QuotaWindow  float64 // length of the window of QuotaExcess and QuotaSlack
	QuotaExcess  float64 // excess over a tenant's quota, as a fraction of the quota
	QuotaSlack   float64 // requests in a window, in addition to QuotaExcess
	Recovery     float64 // time from the return of machines until requests are served again
	History      float64 // time for which a watch may be resumed after a revision
}

// supportedClauses are the clauses of the operators' rules that this version implements.
var supportedClauses = []string{
	"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "coord", "tenants", "quota",
}

// UnsupportedClauses returns the clauses in force that this version does not implement. The calls that such a clause
// introduces are answered with 404; nothing else indicates that the clause is not implemented.
func (s *Settings) UnsupportedClauses() (unsupported []string) {
	for _, clause := range slices.Sorted(maps.Keys(s.Clauses)) {
		if !slices.Contains(supportedClauses, clause) {
			unsupported = append(unsupported, clause)
		}
	}
	return unsupported
}

// Require checks that the settings contain what a program (proxy, agent or control) needs in addition to what all
// programs need. Errors are SettingErrors.
func (s *Settings) Require(program string) error {
	var errs SettingErrors
	require := func(key, value string) {
		if value == "" {
			errs = append(errs, SettingError{Key: key, Text: "missing, and " + program + " needs it"})
		}
	}
	switch program {
	case "proxy":
		require("network.bind.frontAddr", s.FrontAddr)
		require("network.bind.readyAddr", s.ReadyAddr)
	case "control":
		require("network.bind.controlAddr", s.ControlAddr)
		require("self.dataPath", s.DataPath)
	case "agent":
	default:
		errs = append(errs, SettingError{Text: fmt.Sprintf("no program is named %.40q", program)})
	}
	return errs.inFile("")
}

// InternalAddr returns the host:port at which the system's other processes reach this machine.
func (s *Settings) InternalAddr() string { return net.JoinHostPort(s.Host, strconv.Itoa(s.InnerFirst)) }

// AgentAddr returns the host:port at which the proxy on this machine reaches the agent. If several machines share a
// host, the machine's own address is a loopback one, and the agent listens there, because 127.0.0.1 would be the same
// for all of them.
func (s *Settings) AgentAddr() string {
	host := loopbackHost
	if ip, err := netip.ParseAddr(s.Host); err == nil && ip.IsLoopback() {
		host = s.Host
	}
	return net.JoinHostPort(host, strconv.Itoa(s.InnerFirst))
}

// InternalAddrOf returns the host:port at which the system's other processes reach the control node with the given
// control address; the ports are the same on all machines. The result is empty if the control address is invalid.
func (s *Settings) InternalAddrOf(controlAddr string) string {
	if !isAddress(controlAddr) {
		return ""
	}
	host, _, _ := net.SplitHostPort(controlAddr)
	return net.JoinHostPort(host, strconv.Itoa(s.InnerFirst))
}
