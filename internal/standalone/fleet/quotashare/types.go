package quotashare

import (
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// Seconds are seconds of a monotonic clock.
type Seconds = membership.Seconds

// Options are the options of an Allocator.
type Options struct {
	Name        string
	Zone        string
	Ingresses   int // number of all ingresses in the configuration of the fleet
	Incarnation membership.Incarnation
	HasCounter  bool // if false there is no counter, and gateways use grants from the start
}

// QuotaGrant is the part of a customer's quota that this ingress may use. The decision module admits requests by it.
type QuotaGrant = decision.QuotaGrant

// Status is the state of a customer's quota, as operators see it.
type Status struct {
	Customer     string   `json:"member"`
	Quota        float64  `json:"quota"`            // units a second
	Grant        float64  `json:"right"`            // units a second usable here while the counter is not trusted
	Demand       float64  `json:"asked"`            // units a second requested here
	LentTo       []Loan   `json:"given,omitempty"`  // loans of this ingress to others
	BorrowedFrom []Loan   `json:"taken,omitempty"`  // loans of others to this ingress
	Gateways     []string `json:"doors"`            // the other ingresses that serve the customer
	Silent       []string `json:"silent,omitempty"` // the gateways without a recent message
}

// Loan is a part of a quota that one gateway lends to another.
type Loan struct {
	Peer string  `json:"name"` // the other gateway
	Rate float64 `json:"rate"` // units a second
}
