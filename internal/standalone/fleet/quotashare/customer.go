package quotashare

import (
	"math"
	"slices"
)

const (
	rateInterval     = 0.5 // seconds between two measurements of a customer's rate
	rateTimeConstant = 2.0 // time constant of the exponential average of the rate, seconds
	reportTTL        = 2.0 // seconds for which a gateway's report and its trust in the counter are valid
)

// customer is the state of a customer that sends requests to this ingress.
type customer struct {
	firstGateway int     // index of the first of the consecutive ingresses that serve the customer
	gateways     int     // number of these ingresses
	quota        float64 // units a second
	rate         float64 // average of the units a second requested here
	pendingUnits float64 // units requested since ratedAt
	ratedAt      Seconds
	lastDemand   Seconds
	reports      map[string]peerReport // from the other gateways, by name
	lent         map[string]float64    // units a second lent to other gateways as of the last tick, by name
}

// peerReport is the last report of another gateway about a customer.
type peerReport struct {
	at         Seconds
	rate       float64 // units a second requested there
	usesGrants bool    // whether the gateway uses grants instead of the counter for this customer
}

// isBorrower reports whether the gateway may borrow: its report is recent, and it uses grants instead of the counter.
func (pr peerReport) isBorrower(now Seconds) bool { return now < pr.at+reportTTL && pr.usesGrants }

// evenShare returns the part of the quota that each gateway owns, in units a second.
func (c *customer) evenShare() float64 { return c.quota / float64(c.gateways) }

// updateRate adds the units requested since the last measurement to the average, once per rateInterval.
func (c *customer) updateRate(now Seconds) {
	elapsed := now - c.ratedAt
	if elapsed < rateInterval {
		return
	}
	c.rate += (1 - math.Exp(-elapsed/rateTimeConstant)) * (c.pendingUnits/elapsed - c.rate)
	c.pendingUnits = 0
	c.ratedAt = now
}

func (c *customer) removeIdleReports(now Seconds) {
	for name, r := range c.reports {
		if now > r.at+idleTTL {
			delete(c.reports, name)
		}
	}
}

// addDemand counts a request of a customer. No state is created for a customer with only one gateway, because that
// gateway owns the whole quota.
func (a *Allocator) addDemand(now Seconds, d Demand) {
	c := a.customers[d.Customer]
	if c == nil {
		if len(a.customers) >= maxCustomers || d.Gateways < 2 || d.Quota <= 0 || len(d.Customer) > maxNameBytes {
			return
		}
		c = &customer{ratedAt: now, reports: map[string]peerReport{}, lent: map[string]float64{}}
		a.customers[d.Customer] = c
	}
	c.firstGateway = d.FirstGateway
	c.gateways = d.Gateways
	c.quota = d.Quota
	c.lastDemand = now
	c.pendingUnits += d.Units
}

// gatewayName returns the name of the i-th gateway of a customer; empty if it is not known.
func (a *Allocator) gatewayName(c *customer, i int) string {
	return a.ingresses[(c.firstGateway+i)%max(1, a.options.Ingresses)]
}

func (a *Allocator) isGateway(c *customer, name string) bool {
	for i := range c.gateways {
		if a.gatewayName(c, i) == name {
			return true
		}
	}
	return false
}

// peerGateways returns the names of a customer's other known gateways, in the order of their indexes.
func (a *Allocator) peerGateways(c *customer) (names []string) {
	for i := range c.gateways {
		name := a.gatewayName(c, i)
		if name != "" && name != a.options.Name && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (a *Allocator) customerNames() []string { return sortedKeys(a.customers) }
