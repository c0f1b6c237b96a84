package decision

import "slices"

// suspectErrorRate is the share of recent answers that were errors, by weight, from which a server is
// suspect.
const suspectErrorRate = 0.3

// UnhealthyServers names the servers that this gateway itself finds unhealthy: it has ejected them, or a
// large part of their recent answers were errors. The names are sorted.
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

// SetSuspects names servers that other gateways find unhealthy. One that has answered well here a moment
// ago is not changed; another has to prove itself, and costs more than those that nobody suspects. Servers
// that are not listed are ignored.
func (g *Gateway) SetSuspects(_ Seconds, servers []string) {
	for b := range g.allBackends() {
		answersWell := b.healthy && b.failures == 0 && b.recentAnswers >= 1
		if b.listed && slices.Contains(servers, b.ID) && !answersWell {
			b.healthy = false
			b.errorRate = max(b.errorRate, suspectErrorRate)
		}
	}
}
