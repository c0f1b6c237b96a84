package decision

import "slices"

// suspectErrorRate is the weighted share of errors among recent answers above which a server is suspect.
const suspectErrorRate = 0.3

// UnhealthyServers returns the sorted names of the servers that are unhealthy by this gateway's own
// observations: it has ejected them, or more than suspectErrorRate of their recent answers were errors.
func (g *Gateway) UnhealthyServers(now Seconds) []string {
	var names []string
	for b := range g.allBackends() {
		if b.available() && (b.ejectedUntil > now || b.errorRate > suspectErrorRate) {
			names = append(names, b.ID)
		}
	}
	slices.Sort(names)
	return names
}

// SetSuspects applies the names of servers that other gateways find unhealthy. A server that has recently
// answered this gateway successfully is not changed. Any other one counts as unhealthy until it answers
// successfully, and its cost rises. Names of servers that are not listed are ignored.
func (g *Gateway) SetSuspects(_ Seconds, servers []string) {
	for b := range g.allBackends() {
		answersWell := b.healthy && b.failures == 0 && b.recentAnswers >= 1
		if b.listed && slices.Contains(servers, b.ID) && !answersWell {
			b.healthy = false
			// Raised to suspectErrorRate and not above it, so that UnhealthyServers does not report a
			// suspicion of others as this gateway's own observation.
			b.errorRate = max(b.errorRate, suspectErrorRate)
		}
	}
}
