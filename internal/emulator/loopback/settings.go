package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"mulleinrouter/internal/cluster/settings"
)

// maxSeedNodes is the maximum number of control nodes that are listed in the settings of each machine.
const maxSeedNodes = 3

// region is the region of all machines.
const region = "floor"

// settingsFile builds the text of a settings file, which consists of lines "key=value".
type settingsFile struct {
	text strings.Builder
}

func (s *settingsFile) set(key string, value any) { fmt.Fprintf(&s.text, "%s=%v\n", key, value) }

func (m *machine) settingsPath(program string) string { return filepath.Join(m.dir, program+".conf") }

// writeSettings writes the settings files of the machine's processes. bootstrap tells them that this is the first start
// of the system, with empty disks.
func (m *machine) writeSettings(bootstrap bool) error {
	for _, p := range m.processes {
		var s settingsFile
		m.setSelf(&s, p.program, bootstrap)
		m.setNetwork(&s, p.program)
		m.cluster.setPlatform(&s)
		setBounds(&s, m.cluster.options.Bounds)
		if err := replaceFile(m.settingsPath(p.program), s.text.String()); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) setSelf(s *settingsFile, program string, bootstrap bool) {
	class, serving := "edge", "edge"
	if m.core {
		class, serving = "core", "control"
	} else if program == agentProgram {
		serving = ""
	}
	s.set("self.nodeName", m.name)
	s.set("self.role", program)
	s.set("self.machineClass", class)
	s.set("self.serving", serving)
	s.set("self.hostIp", m.ip)
	s.set("self.zone", zoneName(m.zone))
	s.set("self.region", region)
	s.set("self.lossCounted", m.core)
	s.set("self.bootstrap", bootstrap)
	// The programs size their own limits by these resources of a machine. The emulator does not enforce them.
	s.set("self.limits.cpuFraction", 0.4)
	s.set("self.limits.coreCount", 1)
	s.set("self.limits.memoryMb", 284)
	s.set("self.limits.maxFds", 4100)
	s.set("self.limits.linkMbps", 1000)
	if m.core {
		s.set("self.dataPath", m.diskPath())
		s.set("self.limits.diskMb", 256)
	}
}

func (m *machine) setNetwork(s *settingsFile, program string) {
	cl := m.cluster
	if m.core {
		s.set("network.bind.controlAddr", m.address(cl.ports.control))
	} else if program == proxyProgram {
		s.set("network.bind.frontAddr", m.address(cl.ports.front))
		s.set("network.bind.readyAddr", m.address(cl.ports.ready))
	}
	var seeds []string
	for _, node := range cl.core[:min(maxSeedNodes, len(cl.core))] {
		seeds = append(seeds, node.address(cl.ports.control))
	}
	s.set("network.innerPortRange", fmt.Sprintf("%d,%d", cl.ports.inner, cl.ports.inner+innerPorts-1))
	s.set("network.seedNodes", strings.Join(seeds, ","))
	for z := range zones {
		s.set("network.zones."+zoneName(z), region)
	}
}

func (cl *cluster) setPlatform(s *settingsFile) {
	s.set("platform.discoverySource", "self_register")
	s.set("platform.entryKind", "vip")
	s.set("platform.beatMs", cl.options.HeartbeatInterval.Milliseconds())
	s.set("platform.configMode", "parts")
	clauses := "base,drain,config,cost,retry,recover,tenants,quota"
	if cl.interactive {
		clauses += ",coord" // users of Serve can use locks, numbers and cells
	}
	s.set("terms.clauses", clauses)
	// The cluster tolerates the loss of one core node, if those that remain are a majority.
	s.set("terms.tolerance.machineLosses", min(1, (len(cl.core)-1)/2))
}

// setBounds writes the bounds. Times are converted from seconds to milliseconds for keys that end in Ms.
func setBounds(s *settingsFile, b settings.Bounds) {
	s.set("terms.bounds.seedLagS", b.SeedLag)
	s.set("terms.bounds.reuseAfterS", b.ReuseAfter)
	s.set("terms.bounds.contactMs", 1000*b.Contact)
	s.set("terms.bounds.ackMs", 1000*b.Ack)
	s.set("terms.bounds.catchUpS", b.CatchUp)
	s.set("terms.bounds.drainMs", 1000*b.Drain)
	s.set("terms.bounds.graceS", b.Grace)
	s.set("terms.bounds.lossSlackMs", 1000*b.LossSlack)
	s.set("terms.bounds.configApplyMs", 1000*b.ConfigApply)
	s.set("terms.bounds.revertSlackMs", 1000*b.RevertSlack)
	s.set("terms.bounds.stretchMaxMs", 1000*b.MaxStretch)
	s.set("terms.bounds.revokeMs", 1000*b.Revoke)
	s.set("terms.bounds.retryRatio", b.RetryRatio)
	s.set("terms.bounds.retryWindowS", b.RetryWindow)
	s.set("terms.bounds.retrySlack", b.RetrySlack)
	s.set("terms.bounds.quotaWindowS", b.QuotaWindow)
	s.set("terms.bounds.quotaExcess", b.QuotaExcess)
	s.set("terms.bounds.quotaSlack", b.QuotaSlack)
	s.set("terms.bounds.recoveryS", b.Recovery)
	s.set("terms.bounds.revokeGlobal", b.RevokeGlobal)
}

// replaceFile replaces a file atomically, so that a process that reads it concurrently gets either the old or the new
// text.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
