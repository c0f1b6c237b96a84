package quotashare

import (
	"math"
	"slices"
)

const (
	rateInterval     = 0.5 // s between two measurements of a customer's rate
	rateTimeConstant = 2.0 // s of the exponential average of the rate
	reportTTL        = 2.0 // s for which a gateway's report and its trust in the counter hold
)

// customer is what is known of a customer.
type customer struct {
	firstGateway int
	gateways     int
	quota        float64 // units a second
	rate         float64 // units a second requested here, averaged
	pendingUnits float64 // requested since ratedAt
	ratedAt      Seconds
	lastDemand   Seconds
	reports      map[string]peerReport // of the other gateways, by name
	lent         map[string]float64    // units a second to other gateways, as of the last tick
}

// peerReport is what another gateway reported of a customer.
type peerReport struct {
	at         Seconds
	rate       float64 // units a second requested there
	usesGrants bool
}

// isBorrower reports whether the report is recent and of a gateway that may use grants.
func (pr peerReport) isBorrower(now Seconds) bool { return now < pr.at+reportTTL && pr.usesGrants }

// evenShare is the part of the quota that each gateway owns.
func (c *customer) evenShare() float64 { return c.quota / float64(c.gateways) }

// updateRate takes the units requested since the last measurement into the average.
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

// gatewayName is the name of the i-th gateway of a customer; empty if it is not known.
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

// peerGateways returns the names of the other known gateways of a customer, in their order.
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
