package quotashare

import "slices"

// Votes on quote servers. An ingress tells a few others at a time which servers it finds bad by its own evidence; what it was told
// itself goes no further, so that a rumour cannot feed itself. A server is warned of when enough of those that are heard speak
// against it; the warning lapses with their words. The module goes by its own fresh evidence first, and a warning only makes a
// server cost more there.
const (
	votesPerRound        = 4   // ingresses that are told in a round
	voteTTL              = 6.0 // s
	minVotes             = 3   // of different ingresses; of fewer that live, all
	warnedServersDivisor = 3   // of the list, one in so many at the most is warned of
	maxVotesPerPeer      = 64
)

// suspectServers counts.
func (b *Allocator) suspectServers(now Seconds) (warned []string) {
	voters, zones, heard := map[string]int{}, map[string]map[string]bool{}, 0
	known := map[string]bool{b.options.Zone: true}
	for _, name := range sortedKeys(b.peers) {
		p := b.peers[name]
		if now > p.lastContact+voteTTL {
			continue
		}
		heard++
		known[p.zone] = true
		seen := map[string]bool{}
		for _, s := range p.unhealthyServers {
			if !seen[s] || mutated("vote-twice") {
				seen[s] = true
				voters[s]++
				if zones[s] == nil {
					zones[s] = map[string]bool{}
				}
				zones[s][p.zone] = true
			}
		}
	}
	for _, s := range sortedKeys(voters) {
		// A zone that is cut off finds all servers elsewhere bad: where there are several, one is not enough for the others.
		local := len(known) < 2 || zones[s][b.options.Zone] || len(zones[s]) > 1
		if voters[s] >= min(minVotes, max(2, heard)) && local {
			warned = append(warned, s)
		}
	}
	if most := b.serverCount / warnedServersDivisor; len(warned) > most && !mutated("warned-all") {
		// So many at once are no outliers: who is against them may be the one with the bad link. Those with the most votes count.
		slices.SortStableFunc(warned, func(a, b string) int { return voters[b] - voters[a] })
		warned = warned[:most]
		slices.Sort(warned)
	}
	return warned
}
