package testcluster

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/plans"
)

const (
	// revisionLead is the time in seconds from saving a revision until it takes effect. Ingresses read it meanwhile.
	revisionLead = 1.5

	// restartDelay is the time between the kill of an ingress and its next start.
	restartDelay = time.Second

	// maxCrashDelay bounds the random delay between the injection of faults into billing and the kill of an exporter.
	maxCrashDelay = time.Second
)

// When events happen and how long bookings last, as fractions of the duration of the load.
const (
	changeAt        = 0.30 // change of plans
	bookingAt       = 0.40 // announcement of the bookings
	killAt          = 0.55 // kill of an ingress
	crashFrom       = 0.25 // first crash of the exporter
	crashSpan       = 0.5  // period in which its crashes are distributed evenly
	bookingDelay    = 0.05 // time from the revision's effect to the start of the bookings
	bookingDuration = 0.2
)

type event struct {
	at  float64 // time, as a fraction of the duration of the load
	run func() error
}

// events returns the events of a run in order of time.
func (c *cluster) events() []event {
	var all []event
	if c.Changes {
		all = append(all, event{changeAt, c.changePlans}, event{bookingAt, c.addBookings})
	}
	if c.Kill {
		all = append(all, event{killAt, func() error { return c.restartIngress(c.Ingresses - 1) }})
	}
	for n := range c.Crashes {
		at := crashFrom + crashSpan*float64(n)/float64(max(1, c.Crashes))
		all = append(all, event{at, func() error { return c.crashExporter(0) }})
	}
	slices.SortStableFunc(all, func(a, b event) int { return int(1000 * (a.at - b.at)) })
	return all
}

// runEvents runs the events at their times.
func (c *cluster) runEvents(ctx context.Context) error {
	for _, e := range c.events() {
		at := c.loadStartedAt.Add(time.Duration(e.at * c.Seconds * float64(time.Second)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(0, time.Until(at))):
		}
		if err := e.run(); err != nil {
			return err
		}
	}
	return nil
}

// revise saves another revision of the catalogue, which takes effect revisionLead from now.
func (c *cluster) revise(change func(*plans.Revision)) error {
	last := c.revisions[len(c.revisions)-1]
	next := last
	next.Number++
	next.EffectiveAt = math.Round((float64(time.Now().UnixMilli())/1000+revisionLead)*1000) / 1000
	next.Members = maps.Clone(last.Members)
	next.Bookings = slices.Clone(last.Bookings)
	change(&next)
	if problems := next.Validate(); len(problems) > 0 {
		return fmt.Errorf("testcluster: revision %d: %w", next.Number, problems[0])
	}
	c.revisions = append(c.revisions, next)
	return catalogue.Save(c.cataloguePath(), c.revisions)
}

// changePlans moves some members of each plan to the other one.
func (c *cluster) changePlans() error {
	toPlus, toBasic := 0, 0
	err := c.revise(func(next *plans.Revision) {
		for i := range c.Members {
			if !changesPlan(i) {
				continue
			}
			next.Members[memberName(i)] = otherPlan(i).Name
			if otherPlan(i) == &plus {
				toPlus++
			} else {
				toBasic++
			}
		}
	})
	effectiveAt := time.Now().Add(time.Duration(revisionLead * float64(time.Second)))
	c.changedAt.Store(&effectiveAt)
	c.progress("revision 2 announced: %d members go to plus, %d to basic, in %.1f s", toPlus, toBasic, revisionLead)
	return err
}

// changedBy reports whether the change of plans has taken effect at a time.
func (c *cluster) changedBy(now time.Time) bool {
	at := c.changedAt.Load()
	return at != nil && now.After(*at)
}

// addBookings books an additional rate for some members of the plan basic, equal to that of their plan, for a fifth of
// the run.
func (c *cluster) addBookings() error {
	booked := 0
	duration := bookingDuration * c.Seconds
	err := c.revise(func(next *plans.Revision) {
		from := next.EffectiveAt + bookingDelay*c.Seconds
		to := from + duration
		for i := range c.Members {
			if !hasBooking(i) {
				continue
			}
			next.Bookings = append(next.Bookings, plans.Booking{
				ID:     fmt.Sprint("results-", i),
				Member: memberName(i),
				From:   from,
				To:     to,
				Units:  math.Floor(basic.Rate * (to - from)),
			})
			booked++
		}
	})
	c.progress("revision 3 announced: %d members book their plan's rate a second time for %.0f s", booked, duration)
	return err
}

// restartIngress kills an ingress that has attempts in flight, and starts it again after restartDelay.
func (c *cluster) restartIngress(i int) error {
	c.ingresses[i].Kill()
	c.progress("ingress %d killed", i)
	time.Sleep(restartDelay)
	p, err := c.startIngress(i)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.ingresses[i] = p
	c.mu.Unlock()
	c.progress("ingress %d is back", i)
	return nil
}

// ingressAddr returns the address of an ingress's current process.
func (c *cluster) ingressAddr(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ingresses[i].Addr
}

// crashExporter kills an exporter and starts it again. With Options.Faults, billing first accepts a batch without
// answering and then fails the next call, so that the exporter is likely to be killed before it knows that the batch
// was accepted, and to send the batch again.
func (c *cluster) crashExporter(i int) error {
	if c.Faults {
		c.billing.InjectFaults(fakes.LoseReply, fakes.FailCall)
	}
	time.Sleep(time.Duration(c.rng.Float64() * float64(maxCrashDelay)))
	c.exporters[i].Kill()
	c.progress("exporter %d killed", i)
	p, err := c.startExporter(i)
	c.exporters[i] = p
	return err
}
