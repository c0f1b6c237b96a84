package decision

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

type backend struct {
	Backend
	pool               *pool
	listed, good       bool     // good: its last answer was
	rank               uint64   // place in this gateway's order
	out, bad, busy     int      // attempts out; failures, and times it turned work away, in a row
	lat, seen, errs    float64  // learned time of an answer, answers lately, share of them that failed
	usual              *float64 // time of an answer, over all of its kind
	usedAt, cutAt      Seconds  // last sent to; when the limit was last cut
	waiting            Seconds  // since when it owes an answer and gave none, 0: owes none
	limit, ghosts      float64  // attempts it may hold; those not waited for that it may still work on
	downTill, fullTill Seconds  // left alone until then, for it failed, or turned work away
	coldAt, filled     Seconds  // when it is taken to have started, 0: warm; when tokens were reckoned
	tokens             float64  // sends saved up while cold
	home               float64  // its slots that this gateway goes for first
}

func (g *Gateway) list(e Backends) {
	if e.Complete {
		for _, p := range g.pools {
			for _, b := range p.order {
				b.listed = false
			}
		}
	}
	for _, row := range e.List {
		row.Size = min(1e3, cmp.Or(max(0, row.Size), 1)) // 0: not told
		b := g.backends[row.ID]
		if b == nil {
			p := g.group(row.Group)
			if p.kinds[row.Kind] == nil {
				p.kinds[row.Kind] = new(p.lat)
			}
			h := fnv.New64a()
			h.Write([]byte(row.ID))
			b = &backend{pool: p, usual: p.kinds[row.Kind], filled: g.now}
			b.limit = max(1, limitStart/float64(g.s.Gateways))
			b.rank = rand.NewPCG(h.Sum64(), uint64(g.s.Index)).Uint64()
			b.lat = *b.usual
			g.backends[row.ID] = b
			p.order = append(p.order, b)
		}
		if row.StartedAt > b.StartedAt {
			b.coldAt = min(row.StartedAt, g.now+g.s.SlowStartTime) // a start far ahead would leave it cold for ever
			b.filled, b.tokens, b.limit, b.downTill = g.now, 0, 1, 0
		}
		if b.Backend, b.listed = row, true; g.s.CapacityInSlots {
			b.limit = b.most()
		}
	}
	for _, p := range g.pools {
		slices.SortFunc(p.order, func(a, b *backend) int { return cmp.Compare(a.rank, b.rank) })
		g.extent(p)
		g.homes(p)
	}
}

// pick chooses the backend with the least expected wait; nil if none may be used now. One of many gateways
// uses the first backends in its own order (subsetting), for one that it never meets again teaches it nothing
// (issue 11: full ones stayed full). One not known to be good costs a trial: a sick fleet is tried less.
func (g *Gateway) pick(r *request) (best *backend) {
	// When all look bad, none is the outlier: the fault may be this gateway's own link. Full is not bad.
	up := func(b *backend) bool { return b.listed && b.Serving && g.now >= b.downTill }
	p := r.pool
	healthy, bestCost, used, thin := slices.ContainsFunc(p.order, up), math.Inf(1), 1, p.reach < p.listed
	for _, b := range p.order {
		if !b.listed || !b.Serving || healthy && g.now < max(b.downTill, b.fullTill) {
			continue
		}
		if thin && !b.good && p.trials < 1 {
			continue
		}
		if used > p.reach {
			break
		}
		if !thin || b.bad == 0 {
			used++
		}
		limit := b.limit * g.part()
		if r.spare {
			limit *= excessRoom
		}
		if float64(b.out)+b.ghosts >= max(1, limit) || limit < 1 && g.now < b.usedAt+b.lat/limit {
			continue
		}
		share := g.cold(b)
		if share < 1 && !g.coldRoom(b, share) {
			continue
		}
		// A backend takes as long as learned, or as it has owed an answer without giving any (it hangs).
		// Where evidence is thin, chance in proportion to size: all gateways would else choose alike.
		cost, known := float64(b.out+1)*b.lat/share, b.seen/(b.seen+1)
		if b.waiting > 0 {
			cost *= max(1, (g.now-b.waiting)/b.lat)
		}
		cost *= (known + (1-known)*g.rng.ExpFloat64()*p.size/b.Size) * g.far(b)
		cost *= (1 + errCost*b.errs) * float64(1+b.bad)
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	return best
}

// cold is the share of its capacity that a backend surely has.
func (g *Gateway) cold(b *backend) float64 {
	if b.coldAt == 0 || g.now-b.coldAt >= g.s.SlowStartTime {
		return 1
	}
	return g.s.SlowStartShare + (1-g.s.SlowStartShare)*max(0, g.now-b.coldAt)/g.s.SlowStartTime
}

// coldRoom keeps a cold backend to its share of a warm one's; below one send while cold, chance in pick does.
func (g *Gateway) coldRoom(b *backend, share float64) bool {
	rate := share * b.pool.sentRate / float64(max(1, b.pool.warm))
	b.tokens = min(1, b.tokens+rate*(g.now-b.filled))
	b.filled = g.now
	return b.tokens >= 1 || rate*g.s.SlowStartTime < 1
}

// judge learns a backend's time and health from outcomes alone.
func (g *Gateway) judge(b *backend, r *request, a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Succeeded:
		if !a.late {
			if b.pool.trials = min(reachLeast, b.pool.trials+trialShare); !b.good {
				// Or all stay with the few they know (join+vast).
				b.pool.trials = min(reachLeast, b.pool.trials+1)
			}
			b.bad, b.busy, b.good = 0, 0, true
		}
		b.seen++
		b.errs, b.lat = b.errs*(1-errAlpha), b.lat+latAlpha*(e.Duration-b.lat)
		*b.usual += latAlpha / 2 * (e.Duration - *b.usual)
		b.pool.lat += latAlpha / 4 * (e.Duration - b.pool.lat)
		if !a.slow {
			g.adapt(b, e.Duration > slowAt*r.class.LatencyTarget)
		}
	case Rejected:
		b.bad, b.good, b.busy = 0, false, min(b.busy+1, 4)
		b.fullTill = g.now + busyFor*math.Exp2(float64(b.busy))
		g.adapt(b, true)
	case ConnectionRefused, ConnectionReset, TimedOut, Failed:
		b.errs += errAlpha * (1 - b.errs)
		if e.Outcome == TimedOut {
			if !a.slow {
				g.adapt(b, true)
			}
			b.lat = max(b.lat, b.lat+latAlpha*(e.Duration-b.lat))
		}
		if !a.late {
			// A sound one fails one request in a thousand: one error is enough, where others stand by.
			others := b.pool.reach < b.pool.listed
			g.failed(b, e.Outcome == ConnectionRefused || e.Outcome == Failed && others)
		}
	}
}

// failed lets a backend rest that failed several times in a row.
func (g *Gateway) failed(b *backend, proven bool) {
	b.good = b.good && b.bad == 0 && !proven // one answer may be lost
	if b.bad++; b.bad >= ejectAfter || proven {
		b.downTill = g.now + min(ejectMost, ejectFirst*math.Exp2(float64(max(0, b.bad-ejectAfter))))
		b.bad = min(b.bad, ejectAfter+2)
		b.limit, b.lat = 1, *b.usual
	}
}

// adapt moves a backend's limit: up by one for its worth of good answers, down on a slow one, once at a time.
func (g *Gateway) adapt(b *backend, slow bool) {
	if g.s.CapacityInSlots {
		b.limit = b.most() // told, not learned
	} else if !slow {
		if float64(b.out+1) >= b.limit*limitUsed {
			b.limit = min(limitMost, b.limit+limitGrow/max(1, b.limit))
		}
	} else if g.now > b.cutAt+b.pool.lat {
		b.limit, b.cutAt = max(limitLeast/b.pool.sharing, b.limit*limitCut), g.now
	}
}
