package quotashare

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// Each ingress sends a few others at a time the servers that it finds unhealthy by its own evidence. What it
// received is not passed on, so that a rumour can't feed itself. A server is warned of while enough ingresses
// with recent messages vote against it. The decision module goes by its own recent evidence first: a warned
// server only costs more.
const (
	votesPerRound        = 4   // ingresses that are sent the votes at a time
	voteTTL              = 6.0 // s
	minVotes             = 3   // of different ingresses; of all, where fewer are alive
	warnedServersDivisor = 3   // at most one in so many servers of the endpoint list is warned of
	maxVotesPerPeer      = 64
)

// isCredible reports whether a message's votes count. One against more than a third of the sender's servers
// rather tells that the sender is unhealthy.
func (m Message) isCredible() bool {
	return len(m.UnhealthyServers) <= max(1, m.ServerCount)/3 && len(m.UnhealthyServers) <= maxVotesPerPeer
}

// voteReceivers returns the next ingresses to be sent this one's votes; none if it finds no server unhealthy.
func (a *Allocator) voteReceivers(alive []string) (names []string) {
	if len(a.unhealthyServers) == 0 || len(alive) == 0 {
		return nil
	}
	for range min(votesPerRound, len(alive)) {
		a.voteTurn++
		names = append(names, alive[a.voteTurn%len(alive)])
	}
	return names
}

// ballot is the votes against one server.
type ballot struct {
	votes int
	zones map[string]bool // of the voters
}

// suspectServers returns the servers with enough votes against them, by name.
func (a *Allocator) suspectServers(now Seconds) (servers []string) {
	ballots, voters, zones := a.countVotes(now)
	for _, server := range sortedKeys(ballots) {
		b := ballots[server]
		// A zone that is partitioned finds all servers elsewhere unhealthy. Where there are several zones, the votes of
		// one don't count for the others.
		zonesSuffice := len(zones) < 2 || b.zones[a.options.Zone] || len(b.zones) > 1
		if b.votes >= min(minVotes, max(2, voters)) && zonesSuffice {
			servers = append(servers, server)
		}
	}
	if limit := a.serverCount / warnedServersDivisor; len(servers) > limit && !mutants.On("quotashare/warned-all") {
		// So many are no outliers: the voters may have a bad link. Those with the most votes count.
		slices.SortStableFunc(servers, func(x, y string) int { return ballots[y].votes - ballots[x].votes })
		servers = servers[:limit]
		slices.Sort(servers)
	}
	return servers
}

// countVotes returns the recent votes by server, the number of ingresses with recent messages, and the zones of these
// and of this ingress.
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
