package quotashare

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// Seconds are seconds of a monotonic clock.
type Seconds = membership.Seconds

// Options are those of a process.
type Options struct {
	Name        string
	Zone        string
	Ingresses   int // all ingresses of the fleet, by the configuration
	Incarnation membership.Incarnation
	HasCounter  bool // false: there is no counter, and gateways lend from the start
}

// QuotaGrant is what this ingress may use of a customer's quota. The decision module admits requests by it.
type QuotaGrant = decision.QuotaGrant

// Status is the state of a customer's quota, as operators see it.
type Status struct {
	Customer     string   `json:"member"`
	Quota        float64  `json:"quota"`            // units a second
	Grant        float64  `json:"right"`            // units a second of it that this ingress may use
	Demand       float64  `json:"asked"`            // units a second requested here
	LentTo       []Loan   `json:"given,omitempty"`  // by this ingress
	BorrowedFrom []Loan   `json:"taken,omitempty"`  // by this ingress
	Gateways     []string `json:"doors"`            // the other ingresses that serve the customer
	Silent       []string `json:"silent,omitempty"` // those of them without a recent message
}

// Loan is what one gateway lends to another.
type Loan struct {
	Peer string  `json:"name"`
	Rate float64 `json:"rate"` // units a second
}
