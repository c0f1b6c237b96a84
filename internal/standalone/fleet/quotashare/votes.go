package quotashare

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// Each ingress sends the servers that it observes to be unhealthy to a few other ingresses at a time. It doesn't
// forward the votes that it receives, because votes could then confirm themselves in a loop. A server is warned of
// while enough ingresses with recent messages vote against it. The decision module ignores a warning about a server
// that has recently answered this ingress successfully. Any other warned server counts as unhealthy there, at a higher
// cost, until it answers successfully.
const (
	votesPerRound        = 4   // receivers of the votes at each tick
	voteTTL              = 6.0 // validity of a vote, seconds
	minVotes             = 3   // votes of different ingresses that are needed for a warning; see suspectServers
	warnedServersDivisor = 3   // at most 1/3 of the endpoint list is warned of
	maxVotesPerPeer      = 64  // the votes in a message with more are ignored
)

// isCredible reports whether the votes in a message count. Votes against more than a third of the sender's servers are
// ignored, because the cause is more likely at the sender itself.
func (m Message) isCredible() bool {
	return len(m.UnhealthyServers) <= max(1, m.ServerCount)/3 && len(m.UnhealthyServers) <= maxVotesPerPeer
}

// voteReceivers returns the ingresses to which the votes are sent next, in turn; none if there are no votes.
func (a *Allocator) voteReceivers(alive []string) (names []string) {
	if len(a.unhealthyServers) == 0 || len(alive) == 0 {
		return nil
	}
	for range min(votesPerRound, len(alive)) {
		a.voteReceiverCursor++
		names = append(names, alive[a.voteReceiverCursor%len(alive)])
	}
	return names
}

// ballot is the votes against one server.
type ballot struct {
	votes int
	zones map[string]bool // zones of the voters
}

// suspectServers returns the servers with enough votes against them, sorted by name. Enough are minVotes, or the votes
// of all ingresses with recent messages if these are fewer, but at least two.
func (a *Allocator) suspectServers(now Seconds) (servers []string) {
	ballots, voters, zones := a.countVotes(now)
	for _, server := range sortedKeys(ballots) {
		b := ballots[server]
		// A partitioned zone finds all servers elsewhere unhealthy. If there are several zones, the votes of a single
		// other zone are therefore not enough.
		zonesSuffice := len(zones) < 2 || b.zones[a.options.Zone] || len(b.zones) > 1
		if b.votes >= min(minVotes, max(2, voters)) && zonesSuffice {
			servers = append(servers, server)
		}
	}
	if limit := a.serverCount / warnedServersDivisor; len(servers) > limit && !mutants.On("quotashare/warned-all") {
		// So many servers can't all be outliers; the voters may have a bad link. Only the ones with the most votes are
		// returned.
		slices.SortStableFunc(servers, func(x, y string) int { return ballots[y].votes - ballots[x].votes })
		servers = servers[:limit]
		slices.Sort(servers)
	}
	return servers
}

// countVotes returns the recent votes by server, the number of ingresses with recent messages, and the zones of these
// ingresses and of this one.
func (a *Allocator) countVotes(now Seconds) (ballots map[string]*ballot, voters int, zones map[string]bool) {
	ballots = map[string]*ballot{}
	zones = map[string]bool{a.options.Zone: true}
	for _, name := range sortedKeys(a.peers) {
		p := a.peers[name]
		if now > p.lastContact+voteTTL {
			continue
		}
		voters++
		zones[p.zone] = true
		counted := map[string]bool{}
		for _, server := range p.unhealthyServers {
			if counted[server] && !mutants.On("quotashare/vote-twice") {
				continue
			}
			counted[server] = true
			if ballots[server] == nil {
				ballots[server] = &ballot{zones: map[string]bool{}}
			}
			ballots[server].votes++
			ballots[server].zones[p.zone] = true
		}
	}
	return ballots, voters, zones
}
