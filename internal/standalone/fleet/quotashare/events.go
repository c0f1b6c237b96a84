package quotashare

// Event is what happens.
type Event interface{ event() }

// The events.
type (
	// Asked tells of a request that came.
	Asked struct {
		Member       string
		First, Doors int
		Quota, Units float64
	}
	// Heard is a word of another ingress.
	Heard struct {
		From string
		Word Word
	}
	// Adding tells of a call of the counter as it leaves; Counted what came of it.
	Adding struct {
		Name   string
		Amount float64
		Keep   Seconds
	}
	Counted struct {
		Name     string
		Answered bool // by the counter, in whatever words
		Done     bool // with a total
		Total    float64
	}
	// Tick lets time pass; it comes ten times a second or so.
	Tick struct {
		Doors  map[int]string // ingresses by number, as membership knows them; this one among them
		Living []string       // the others
		Bad    []string       // servers that this ingress itself finds bad
		Listed int            // servers of its list
	}
	// Woken tells that the process stood still: what it borrowed has ended.
	Woken struct{}
	// Aside tells that another process has this ingress's name: its part is that one's.
	Aside struct{}
)

func (Asked) event() {}

func (Heard) event() {}

func (Adding) event() {}

func (Counted) event() {}

func (Tick) event() {}

func (Woken) event() {}

func (Aside) event() {}

// Action is what is to be done.
type Action interface{ action() }

// The actions.
type (
	// Say sends a word.
	Say struct {
		To   string
		Word Word
	}
	// Hold sets what this ingress has of members' quotas, in units a second, in place of all before; Until: if nothing is said by
	// then, the process stood still, and has of each what it never lends.
	Hold struct {
		Rights []Right
		Until  Seconds
	}
	// Warn names the servers that others' votes speak against, in place of all before.
	Warn struct{ Servers []string }
	// Turned tells that the counter is trusted from now on, or is not, and why.
	Turned struct {
		Sound bool
		Why   string
	}
)

func (Say) action() {}

func (Hold) action() {}

func (Warn) action() {}

func (Turned) action() {}
