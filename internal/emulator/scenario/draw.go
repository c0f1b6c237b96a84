package scenario

import (
	"fmt"
	"math/rand/v2"
)

const (
	firstFault    Seconds = 5  // the earliest time of a fault
	lastFault     Seconds = 26 // the latest time of a fault or of planned work
	firstPlanned  Seconds = 3  // the earliest time of planned work other than changes of the configuration
	coreStream            = 7  // stream of the random source for Draw
	anyKindStream         = 11 // stream of the random source for DrawAny
)

// Draw draws a day with two to four faults of the control nodes, changes of the configuration during the whole day
// (more than a hundred on some days), other planned work, and on most days a closing fault. one and zero are Day.One
// and Day.Zero.
func Draw(seed uint64, one, zero float64) Day {
	d := drawing{rand.New(rand.NewPCG(seed, coreStream))}
	// The base of Day.Seed, 1000, differs from that of DrawAny, so that the days of a seed have different seeds.
	day := Day{Name: fmt.Sprintf("worst-%02d", seed), Seed: 1000 + seed, One: one, Zero: zero}
	for range 2 + d.IntN(3) {
		day.Faults = append(day.Faults, d.fault(d.between(firstFault, lastFault), coreFaults))
	}
	day.Plan = append(day.Plan, d.configChanges()...)
	for range 1 + d.IntN(3) {
		day.Plan = append(day.Plan, d.fault(d.between(firstPlanned, lastFault), plannedWork))
	}
	sortByTime(day.Faults)
	sortByTime(day.Plan)
	day.Closing = d.closing(
		[]string{"", "power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all"},
		[]string{"", "timed", "taken"},
	)
	return day
}

// DrawAny draws a day with three to six faults of servers, edge machines, callers and control nodes, which may overlap.
// Together with Draw, it covers the kinds that the bench knows for the contracts of the deployments. The day also has
// changes of the configuration, other planned work, and on most days a closing fault. one and zero are Day.One and
// Day.Zero.
func DrawAny(seed uint64, one, zero float64) Day {
	d := drawing{rand.New(rand.NewPCG(seed, anyKindStream))}
	day := Day{Name: fmt.Sprintf("any-%02d", seed), Seed: 2000 + seed, One: one, Zero: zero}
	day.Plan = d.configChanges()
	for range 2 + d.IntN(3) {
		day.Faults = append(day.Faults, d.fault(d.between(firstFault, lastFault), edgeFaults))
	}
	for range 1 + d.IntN(2) {
		day.Faults = append(day.Faults, d.fault(d.between(firstFault, lastFault), rareCoreFaults))
	}
	for range 1 + d.IntN(2) {
		day.Plan = append(day.Plan, d.fault(d.between(firstPlanned, lastFault), plannedWork))
	}
	sortByTime(day.Faults)
	sortByTime(day.Plan)
	day.Closing = d.closing(
		[]string{"", "power_off_all", "wipe_after_ack", "kill_all"},
		[]string{"", "timed", "taken", "oldest"},
	)
	return day
}

// closing draws the fault that ends a day from these kinds, as a TOML table; an empty kind gives none. wipeVariants are
// the variants of the kind wipe_after_ack, which wipes a disk.
func (d drawing) closing(kinds, wipeVariants []string) string {
	kind := d.pick(kinds)
	if kind == "" {
		return ""
	}
	table := fmt.Sprintf("{ kind = %q, down_s = %.2f", kind, d.between(0.7, 1.5))
	if kind == "wipe_after_ack" {
		table += fmt.Sprintf(", how = %q", d.pick(wipeVariants))
	}
	return table + " }"
}

// configChanges draws the changes of the configuration during the whole day. They are some seconds apart or, on a
// quarter of the days, a fraction of a second.
func (d drawing) configChanges() (changes []Fault) {
	gap := d.between(3, 8)
	if d.IntN(4) == 0 {
		gap = d.between(0.1, 0.25)
	}
	for at := d.between(2, 4); at < lastFault; at += gap * d.between(0.7, 1.3) {
		variant := d.how([]string{"route", "weights", "timeout", "tenant", "quota", "idle"})
		changes = append(changes, Fault{at, "config_change", []string{variant}})
	}
	return changes
}
