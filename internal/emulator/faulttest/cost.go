package faulttest

import (
	"slices"
	"time"

	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/fleet/gossip"
)

// Cost is the average resource use of those members whose process ran from the scenario's start to its end.
type Cost struct {
	PacketsPerSecond float64 // sent to other members
	BytesPerSecond   float64 // sent to other members
	CPU              float64 // fraction of a core, for all work of the process
}

// usageSample is what a process has used since its start.
type usageSample struct {
	process *testcluster.Process
	traffic gossip.Traffic
	cpu     time.Duration
}

// sampleUsage returns a sample of each process that runs.
func (p *player) sampleUsage() (samples []usageSample) {
	for _, n := range p.env.nodes {
		report, process := n.report(), n.running()
		if report == nil || process == nil {
			continue
		}
		if cpu, err := process.CPU(); err == nil {
			samples = append(samples, usageSample{process: process, traffic: report.Traffic, cpu: cpu})
		}
	}
	return samples
}

// computeCost sets the report's cost from the samples taken at the scenario's start and new ones.
func (p *player) computeCost(before []usageSample) {
	seconds := time.Since(p.startedAt).Seconds()
	processes := 0.0
	sum := Cost{}
	for _, now := range p.sampleUsage() {
		i := slices.IndexFunc(before, func(sample usageSample) bool { return sample.process == now.process })
		if i < 0 {
			continue
		}
		first := before[i]
		processes++
		sum.PacketsPerSecond += float64(now.traffic.PacketsOut-first.traffic.PacketsOut) / seconds
		sum.BytesPerSecond += float64(now.traffic.BytesOut-first.traffic.BytesOut) / seconds
		sum.CPU += (now.cpu - first.cpu).Seconds() / seconds
	}
	if processes == 0 {
		return
	}
	p.report.Cost = Cost{
		PacketsPerSecond: sum.PacketsPerSecond / processes,
		BytesPerSecond:   sum.BytesPerSecond / processes,
		CPU:              sum.CPU / processes,
	}
}
