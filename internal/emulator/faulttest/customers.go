package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	customerLoad = 1.2  // request rate of a customer, as a multiple of its quota
	busyShare    = 0.85 // share of a customer's requests that goes through its busy ingress

	customerInterval = 20 * time.Millisecond // time between two computations of the requests that are due
	maxDueRequests   = 20                    // per customer and ingress; limits the burst after a stall of the client

	maxCustomerRequests    = 512             // requests of all customers in flight at once
	customerRequestTimeout = 2 * time.Second // longer than the 1 s in which X-Timeout asks the ingress for a response
	maxIdlePerIngress      = 64              // number of idle connections that are kept for reuse
	idleConnTimeout        = time.Second     // time after which an idle connection is closed

	firstCustomerTenant = 0x100 // tenant of the first customer, different from basicTenant
)

// customerClient sends the requests of all customers.
type customerClient struct {
	env      *environment
	http     *http.Client
	inFlight chan struct{} // has an element for each request in flight
	running  *sync.WaitGroup
}

// startCustomers sends the customers' requests until the context ends. Each customer uses all ingresses, but sends
// most of its requests through its busy one, which ActionShift moves.
func (e *environment) startCustomers(ctx context.Context, running *sync.WaitGroup) {
	if e.scenario.Customers == 0 {
		return
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerIngress, IdleConnTimeout: idleConnTimeout}
	client := &customerClient{
		env:      e,
		http:     &http.Client{Timeout: customerRequestTimeout, Transport: transport},
		inFlight: make(chan struct{}, maxCustomerRequests),
		running:  running,
	}
	for customer := range e.scenario.Customers {
		for i := range e.nodes {
			running.Go(func() { client.run(ctx, customer, i) })
		}
	}
}

// run sends the requests of one customer to one ingress.
func (c *customerClient) run(ctx context.Context, customer, ingress int) {
	n := c.env.nodes[ingress]
	due, last := 0.0, time.Now()
	for number := 0; sleep(ctx, customerInterval); {
		now := time.Now()
		rate := customerLoad * c.share(customer, ingress) * c.env.scenario.Quota
		due = min(maxDueRequests, due+now.Sub(last).Seconds()*rate)
		last = now
		for ; due >= 1; due-- {
			number++
			c.send(n, customer, fmt.Sprintf("c%d-%s-%d", customer, n.name, number))
		}
	}
}

// share returns the share of a customer's requests that goes through an ingress.
func (c *customerClient) share(customer, ingress int) float64 {
	ingresses := len(c.env.nodes)
	if (customer+int(c.env.busyShift.Load()))%ingresses == ingress {
		return busyShare
	}
	return (1 - busyShare) / float64(max(1, ingresses-1))
}

// send sends a request without waiting for the response. If maxCustomerRequests are in flight, the machine is too slow,
// and send drops the request. A dropped request is not counted as unanswered; it only lowers the use that ExpectUsage
// measures.
func (c *customerClient) send(n *node, customer int, id string) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		return
	}
	c.running.Go(func() {
		defer func() { <-c.inFlight }()
		c.roundTrip(n, customer, id)
	})
}

func (c *customerClient) roundTrip(n *node, customer int, id string) {
	request := quoteRequest{
		id:      id,
		tenant:  firstCustomerTenant + customer,
		tier:    "customer",
		timeout: "1.000",
		spread:  len(c.env.nodes),
	}
	// The outcome is ignored: expectations of customers are evaluated by what arrives at the quote servers.
	request.roundTrip(c.http, n.clientAddr)
}

// customerOf returns which customer sent the request with an ID; ok is false if no customer did.
func customerOf(id string) (customer int, ok bool) {
	_, err := fmt.Sscanf(id, "c%d-", &customer)
	return customer, err == nil
}
