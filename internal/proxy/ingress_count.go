package proxy

import "time"

const (
	// memberCountRetention is the time for which an ingress that is gone is counted: it may still hold quota slices.
	memberCountRetention = 20 * time.Second
	// defaultIngressCount is the number of ingresses while none has been reported: many, for a slice of a quota that is
	// too large cannot be taken back.
	defaultIngressCount = 24
)

// ingressCount is the number of ingresses that a tenant's requests may come through: the highest one that was reported
// within memberCountRetention. The zero value has no report.
type ingressCount struct {
	highest   int
	highestAt time.Time // when it was last reported
}

// observe takes a report of the number of ingresses, one at least.
func (ic *ingressCount) observe(now time.Time, members int) {
	if members >= ic.highest || now.Sub(ic.highestAt) > memberCountRetention {
		ic.highest = members
		ic.highestAt = now
	}
}

// value returns the number of ingresses to assume.
func (ic *ingressCount) value() int {
	if ic.highest > 0 {
		return ic.highest
	}
	return defaultIngressCount
}
