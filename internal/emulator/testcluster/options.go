package testcluster

import (
	"fmt"
	"io"

	"mulleinrouter/internal/decision"
)

// Options are the settings of a run.
type Options struct {
	Program   string    // path of the program that runs as ingress and as exporter
	Dir       string    // for configuration, logs and records; if it is empty, a temporary folder is used and removed
	Ingresses int       // at least 1
	Members   int       // at least 2; at first, half of them are on each plan
	Seconds   float64   // duration of the load
	Load      float64   // average request rate of the members that are not heavy, as a multiple of their quotas
	Changes   bool      // change plans and add bookings in the middle of the run
	Kill      bool      // kill the last ingress and start it again
	Crashes   int       // number of times that the exporter of ingress 0 is killed and started again
	Faults    bool      // quote servers fail at random, and billing before each crash of an exporter
	Seed      uint64    // seed of all random values
	Progress  io.Writer // gets a line for each event; nil: none
}

func (o *Options) validate() error {
	if o.Ingresses < 1 || o.Members < 2 || o.Seconds <= 0 || o.Load <= 0 {
		return ErrInvalidOptions
	}
	return nil
}

// The plans of a run. With three ingresses and requests of at most maxUnits, a quota slice of each plan covers several
// requests in each cycle.
var (
	basic = decision.Plan{Name: "basic", Rate: 10, Burst: 20, ValueWeight: 1, ExcessCost: 0.5}
	plus  = decision.Plan{Name: "plus", Rate: 30, Burst: 60, ValueWeight: 2, ExcessValue: 0.3,
		LimitRate: 45, LimitBurst: 90, LimitSlack: 9}
)

// The groups of members that change plans in a run with Options.Changes.
const (
	basicToPlus = "basic to plus"
	plusToBasic = "plus to basic"
)

const (
	// firstMember is the number that the name of member 0 contains, in hexadecimal digits.
	firstMember = 0x1000

	// changeEvery is the distance between the numbers of two members that change their plans.
	changeEvery = 5

	// bookingEvery is the distance between the numbers of two members with a booking, and firstBooked is the number of
	// the first one. All of them are on the plan basic and do not change it.
	bookingEvery = 20
	firstBooked  = 2

	// In each group of heavyPeriod consecutive members, those from index heavyFrom on are heavy: their request rate is
	// heavyFactor times Options.Load.
	heavyPeriod = 8
	heavyFrom   = 6
	heavyFactor = 2
)

// memberName returns the name of a member by its number.
func memberName(i int) string { return fmt.Sprintf("%016x", firstMember+i) }

// memberNumber returns the number of a member by its name. If no member has the name, the number is negative or not
// below Options.Members.
func memberNumber(name string) int {
	var n int
	if _, err := fmt.Sscanf(name, "%x", &n); err != nil {
		return -1
	}
	return n - firstMember
}

// firstPlan returns the plan that a member is on when a run begins.
func firstPlan(i int) *decision.Plan {
	if i%2 == 0 {
		return &basic
	}
	return &plus
}

// otherPlan returns the plan that a member changes to if it changes its plan.
func otherPlan(i int) *decision.Plan { return firstPlan(i + 1) }

// changesPlan reports whether a member changes its plan in a run with Options.Changes.
func changesPlan(i int) bool { return i%changeEvery == 0 }

// hasBooking reports whether a member has a booking in a run with Options.Changes.
func hasBooking(i int) bool { return i%bookingEvery == firstBooked }

// heavy reports whether a member requests heavyFactor times as much as others do on average.
func heavy(i int) bool { return i%heavyPeriod >= heavyFrom }

// groups returns the names of the groups that members are counted in.
func (o *Options) groups() []string {
	names := []string{basic.Name, plus.Name}
	if o.Changes {
		names = append(names, basicToPlus, plusToBasic)
	}
	return names
}

// groupOf returns the group that a member is counted in: its plan, or the change of its plan.
func (o *Options) groupOf(i int) string {
	if !o.Changes || !changesPlan(i) {
		return firstPlan(i).Name
	}
	if firstPlan(i) == &basic {
		return basicToPlus
	}
	return plusToBasic
}
