package settings

import (
	"net/netip"
	"strconv"

	"mulleinrouter/internal/logging"
)

// Defaults of optional settings, in seconds unless a comment gives another unit. The comments on the fields of Settings
// and Bounds with the same names say what each one limits.
const (
	defaultHeartbeatInterval = 1.5
	defaultSeedLag           = 3
	defaultReuseAfter        = 2
	defaultContact           = 3
	defaultAck               = 5
	defaultCatchUp           = 4
	defaultDrain             = 2.5
	defaultGrace             = 6
	defaultLossSlack         = 0.2
	defaultConfigApply       = 2.5
	defaultRevertSlack       = 0.25
	defaultMaxStretch        = 8
	defaultRevoke            = 5
	defaultRetryRatio        = 0.2 // further arrivals, as a fraction of the requests
	defaultRetryWindow       = 10
	defaultRetrySlack        = 60 // further arrivals
	defaultQuotaWindow       = 5
	defaultQuotaExcess       = 0.1 // fraction of the quota
	defaultQuotaSlack        = 20  // requests
	defaultRecovery          = 15
	defaultHistory           = 20
)

// Decode decodes the text of a settings file, whose name in errors is file. Unknown fields are ignored, and a field
// that has a default may be missing. Errors are SettingErrors.
func Decode(file, text string) (*Settings, error) {
	paths, errs := Parse(text)
	if len(errs) > 0 {
		return nil, errs.inFile(file)
	}
	r := &reader{paths: paths}
	r.require("self.nodeName", "self.hostIp", "self.zone", "network.innerPortRange", "network.seedNodes")
	s := &Settings{
		Node:              r.text("self.nodeName"),
		Role:              r.text("self.role"),
		Class:             r.text("self.machineClass"),
		Serving:           r.list("self.serving"),
		Host:              r.text("self.hostIp"),
		Zone:              r.text("self.zone"),
		Region:            r.text("self.region"),
		LossCounted:       r.flag("self.lossCounted"),
		Bootstrap:         r.flag("self.bootstrap"),
		DataPath:          r.text("self.dataPath"),
		Limits:            r.limits(),
		FrontAddr:         r.address("network.bind.frontAddr"),
		ReadyAddr:         r.address("network.bind.readyAddr"),
		ControlAddr:       r.address("network.bind.controlAddr"),
		Seeds:             r.list("network.seedNodes"),
		Zones:             r.table("network.zones"),
		HeartbeatInterval: r.millis("platform.beatMs", defaultHeartbeatInterval),
		Clauses:           map[string]bool{},
		Tolerance:         r.tolerance(),
		Bounds:            r.bounds(),
		Log:               r.log(),
	}
	for _, clause := range r.list("terms.clauses") {
		s.Clauses[clause] = true
	}
	r.checkHost()
	r.checkSeeds(s.Seeds)
	s.InnerFirst, s.InnerLast = r.innerPorts()
	if err := r.errors.inFile(file); err != nil {
		return nil, err
	}
	return s, nil
}

func (r *reader) limits() Limits {
	return Limits{
		CPUFraction: r.number("self.limits.cpuFraction", 1),
		Cores:       r.number("self.limits.coreCount", 1),
		MemoryMB:    r.integer("self.limits.memoryMb"),
		MaxFDs:      r.integer("self.limits.maxFds"),
		LinkMbps:    r.number("self.limits.linkMbps", 0),
		DiskMB:      r.integer("self.limits.diskMb"),
	}
}

func (r *reader) tolerance() Tolerance {
	return Tolerance{
		Machines: r.integer("terms.tolerance.machineLosses"),
		Zones:    r.integer("terms.tolerance.zones"),
		Regions:  r.integer("terms.tolerance.regionLosses"),
	}
}

func (r *reader) bounds() Bounds {
	return Bounds{
		SeedLag:      r.number("terms.bounds.seedLagS", defaultSeedLag),
		ReuseAfter:   r.number("terms.bounds.reuseAfterS", defaultReuseAfter),
		Contact:      r.millis("terms.bounds.contactMs", defaultContact),
		Ack:          r.millis("terms.bounds.ackMs", defaultAck),
		CatchUp:      r.number("terms.bounds.catchUpS", defaultCatchUp),
		Drain:        r.millis("terms.bounds.drainMs", defaultDrain),
		Grace:        r.number("terms.bounds.graceS", defaultGrace),
		LossSlack:    r.millis("terms.bounds.lossSlackMs", defaultLossSlack),
		ConfigApply:  r.millis("terms.bounds.configApplyMs", defaultConfigApply),
		RevertSlack:  r.millis("terms.bounds.revertSlackMs", defaultRevertSlack),
		MaxStretch:   r.millis("terms.bounds.stretchMaxMs", defaultMaxStretch),
		RevokeGlobal: r.flag("terms.bounds.revokeGlobal"),
		Revoke:       r.millis("terms.bounds.revokeMs", defaultRevoke),
		RetryRatio:   r.number("terms.bounds.retryRatio", defaultRetryRatio),
		RetryWindow:  r.number("terms.bounds.retryWindowS", defaultRetryWindow),
		RetrySlack:   r.number("terms.bounds.retrySlack", defaultRetrySlack),
		QuotaWindow:  r.number("terms.bounds.quotaWindowS", defaultQuotaWindow),
		QuotaExcess:  r.number("terms.bounds.quotaExcess", defaultQuotaExcess),
		QuotaSlack:   r.number("terms.bounds.quotaSlack", defaultQuotaSlack),
		Recovery:     r.number("terms.bounds.recoveryS", defaultRecovery),
		History:      r.number("terms.bounds.historyS", defaultHistory),
	}
}

func (r *reader) log() (s logging.Settings) {
	var err error
	if s.Level, err = logging.ParseLevel(r.text("log.level")); err != nil {
		r.fail("log.level", err.Error())
	}
	if s.Format, err = logging.ParseFormat(r.text("log.format")); err != nil {
		r.fail("log.format", err.Error())
	}
	return s
}

// checkHost checks that the machine's address is an IPv4 address.
func (r *reader) checkHost() {
	host, ok := r.given("self.hostIp")
	if !ok {
		return
	}
	if ip, err := netip.ParseAddr(host); err != nil || !ip.Is4() {
		r.fail("self.hostIp", "not an IPv4 address")
	}
}

// checkSeeds checks that the seeds are addresses with ports.
func (r *reader) checkSeeds(seeds []string) {
	for _, seed := range seeds {
		if !isAddress(seed) {
			r.fail("network.seedNodes", "not a list of addresses with ports")
			return
		}
	}
}

// innerPorts reads the first and the last port for the system's own processes.
func (r *reader) innerPorts() (first, last int) {
	ports := r.list("network.innerPortRange")
	if ports == nil {
		return 0, 0
	}
	ok := len(ports) == 2
	if ok {
		low, errLow := strconv.ParseUint(ports[0], 10, 16)
		high, errHigh := strconv.ParseUint(ports[1], 10, 16)
		first, last = int(low), int(high)
		ok = errLow == nil && errHigh == nil && 0 < low && low <= high
	}
	if !ok {
		r.fail("network.innerPortRange", "not two ports, the first and the last")
	}
	return first, last
}
