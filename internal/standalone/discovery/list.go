package discovery

// List is an endpoint list, or the changes to one, in discovery's form.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"` // it is complete
	Targets []Target `json:"targets"`
}

// Target is one entry of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"` // Unix time in ms
}

// States of a target. A target in any other state exists, and is sent nothing new.
const (
	stateActive = "active"
	stateLeft   = "left" // it is no longer there
)
