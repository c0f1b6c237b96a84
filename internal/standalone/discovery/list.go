package discovery

// List is an endpoint list, or the changes to one, as discovery sends it.
type List struct {
	Rev     int64    `json:"rev"` // revision of the list
	All     bool     `json:"all"` // the list is complete; false: it has only the changes
	Targets []Target `json:"targets"`
}

// Target is one backend of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"` // Unix time in ms
}

// States of a target. A target in any other state is kept in the directory, but gets no new requests.
const (
	stateActive = "active"
	stateLeft   = "left" // the target no longer exists
)
