package proxy

import "time"

const (
	// memberCountRetention is the time for which an ingress that has left still counts, because it may still hold quota
	// slices.
	memberCountRetention = 20 * time.Second
	// newProcessSpan is the time after the start of a process in which the recent number of ingresses counts like a
	// present one. Then all ingresses that started together are members.
	newProcessSpan = 5 * time.Second
	// defaultIngressCount is the number of ingresses that is assumed until one is reported. It is high, because a slice
	// of a quota that is too large cannot be taken back.
	defaultIngressCount = 24
)

// ingressCount determines the number of ingresses through which a tenant's requests may arrive. It is the highest
// number reported. Once that number has not been reported for memberCountRetention, the next report replaces it. The
// zero value has no report.
type ingressCount struct {
	highest   int
	highestAt time.Time // time of the last report of highest
}

// observe records a report of the number of ingresses, which must be at least 1.
func (ic *ingressCount) observe(now time.Time, members int) {
	if members >= ic.highest || now.Sub(ic.highestAt) > memberCountRetention {
		ic.highest = members
		ic.highestAt = now
	}
}

// value returns the number of ingresses to assume at the given age of this process. While the process is new, the
// recent number of members counts too, but is not retained: ingresses that start together with this one are no members
// yet, and each of them would take the even share of a quota among the few that stayed, which have the complete quota.
func (ic *ingressCount) value(age time.Duration, recent int) int {
	if ic.highest == 0 {
		return defaultIngressCount
	}
	if age < newProcessSpan {
		return max(ic.highest, recent)
	}
	return ic.highest
}
