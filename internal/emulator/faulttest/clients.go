package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	clientInterval = 200 * time.Millisecond // between the end of a client's request and its next one
	clientTimeout  = 4 * time.Second        // longer than the 2 s in which X-Timeout asks the ingress for a response
	absenceGrace   = time.Second            // time after an absence in which a request may stay unanswered

	basicTenant = 1 // tenant of the clients; the quota of its plan is never used up
)

// requestCounts counts the requests of all clients.
type requestCounts struct {
	mu         sync.Mutex // guards the fields below
	sent       int
	served     int // answered 200
	unanswered int // got no response although the ingress was running
	lastError  string
}

// quoteRequest describes a request to an ingress.
type quoteRequest struct {
	id      string
	tenant  int
	tier    string // name of the plan
	timeout string // value of X-Timeout, in seconds
	spread  int    // term spread of X-Call-Terms: number of ingresses among which the customer's requests are spread
}

// roundTrip sends the request to an ingress and returns the status of the response. Only the client's timeout ends it
// early. The end of the fault test does not, because a request that it interrupted would be counted as unanswered.
func (q quoteRequest) roundTrip(client *http.Client, addr string) (status int, err error) {
	url := fmt.Sprintf("http://%s/api/%016x", addr, q.tenant)
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Request-ID", q.id)
	request.Header.Set("X-Priority-Class", "quote-read")
	request.Header.Set("X-Tier", q.tier)
	request.Header.Set("X-Timeout", q.timeout)
	request.Header.Set("X-Call-Terms", fmt.Sprintf("units=1,spread=%d,first=0", q.spread))
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// startClients starts a client of each member, which sends requests one after the other until the context ends.
func (e *environment) startClients(ctx context.Context, running *sync.WaitGroup) *requestCounts {
	counts := &requestCounts{}
	for _, n := range e.nodes {
		running.Go(func() { n.runClient(ctx, counts) })
	}
	return counts
}

func (n *node) runClient(ctx context.Context, counts *requestCounts) {
	// Each request uses a new connection. Otherwise a process that ends might close an idle connection just when the
	// client reuses it.
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := 0; sleep(ctx, clientInterval); number++ {
		if n.responsive() != nil {
			n.sendClientRequest(client, number, counts)
		}
	}
}

// sendClientRequest sends one request and counts its outcome.
func (n *node) sendClientRequest(client *http.Client, number int, counts *requestCounts) {
	sentAt := time.Now()
	description := quoteRequest{
		id:      fmt.Sprint(n.name, "-", number),
		tenant:  basicTenant,
		tier:    "basic",
		timeout: "2.000",
		spread:  1,
	}
	status, err := description.roundTrip(client, n.clientAddr)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.sent++
	switch {
	case err == nil:
		if status == http.StatusOK {
			counts.served++
		}
	case !n.wasAbsent(sentAt, absenceGrace) && !n.wasAbsent(time.Now(), 0):
		counts.unanswered++
		counts.lastError = fmt.Sprintf("%s: %v", n.name, err)
	}
}

// sleep waits, and reports false if the context ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
