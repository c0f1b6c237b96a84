package metrics

import "mulleinrouter/internal/cluster/registry"

// InstanceSamples counts server instances by phase.
func InstanceSamples(instances []registry.Instance) []Sample {
	var counts [registry.Gone + 1]int
	for _, i := range instances {
		counts[i.Phase]++
	}
	samples := make([]Sample, len(counts))
	for phase, count := range counts {
		samples[phase] = Sample{Label: registry.Phase(phase).String(), Value: float64(count)}
	}
	return samples
}
