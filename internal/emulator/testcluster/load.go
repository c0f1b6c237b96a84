package testcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is how a request ended for its client.
type outcome int

const (
	served   outcome = iota // 200
	rejected                // 429 or 503
	failed                  // 502 or 504
	wrong                   // any other status
	lost                    // no answer: the connection ended, or the client's timeout passed
	outcomes                // number of outcomes
)

// request is a request that a client sent.
type request struct {
	member     int
	units      float64
	atMostOnce bool
	sentAt     time.Time
	latency    time.Duration
	outcome    outcome
	retryAfter bool // it was rejected with Retry-After
}

// load sends the members' requests. Their times do not depend on the answers (open loop).
type load struct {
	cluster *cluster
	client  *http.Client
	factors []float64  // units that each member requests per second, as a multiple of its quota
	rng     *rand.Rand // used only by the goroutine that runs the load
	lastID  int

	slots    chan struct{} // one element for each request in flight
	inFlight sync.WaitGroup

	mu       sync.Mutex // guards requests
	requests map[string]*request
}

const (
	// maxInFlight is the maximum number of requests in flight, so that the run continues if the ingresses hang.
	maxInFlight = 4000

	clientTimeout = 3 * time.Second      // longer than the 1.5 s in which X-Timeout asks the ingress for an answer
	sendInterval  = 2 * time.Millisecond // between two checks which requests are due

	// meanUnits is the mean number of units of a request, which has from 1 to maxUnits.
	meanUnits = 1.5

	// On average, one in atMostOnceEvery requests must not run twice.
	atMostOnceEvery = 5
)

func newLoad(c *cluster) *load {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		MaxConnsPerHost:     400,
		IdleConnTimeout:     time.Second,
		DisableCompression:  true,
	}
	l := &load{
		cluster:  c,
		client:   &http.Client{Timeout: clientTimeout, Transport: transport},
		rng:      rand.New(rand.NewPCG(c.Seed, 2)),
		slots:    make(chan struct{}, maxInFlight),
		requests: map[string]*request{},
	}
	for i := range c.Members {
		factor := c.Load * (0.6 + 0.8*c.rng.Float64()) // 0.6 to 1.4 times Options.Load
		if heavy(i) {
			factor = c.Load * heavyFactor
		}
		l.factors = append(l.factors, factor)
	}
	return l
}

// run sends requests until the duration of the load is over or the context ends, and waits for the answers.
func (l *load) run(ctx context.Context) {
	c := l.cluster
	defer l.client.CloseIdleConnections()
	defer l.inFlight.Wait()
	end := c.end()
	next := make([]time.Time, c.Members)
	for i := range next {
		next[i] = c.loadStartedAt.Add(time.Duration(l.rng.Float64() * float64(time.Second)))
	}
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(end) || ctx.Err() != nil {
			return
		}
		for i := range next {
			for next[i].Before(now) {
				next[i] = next[i].Add(l.sendNext(i, now))
			}
		}
	}
}

// sendNext sends a member's next request, unless too many are in flight, and returns the time until the one after it.
// A request that is not sent is not recorded.
func (l *load) sendNext(member int, now time.Time) time.Duration {
	l.lastID++
	id := fmt.Sprintf("r%07d", l.lastID)
	q := &request{member: member}
	q.units = float64(1 + l.rng.IntN(maxUnits))
	q.atMostOnce = l.rng.IntN(atMostOnceEvery) == 0
	rate := l.factors[member] * l.quota(member, now) / meanUnits // requests per second
	interval := time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
	select {
	case l.slots <- struct{}{}:
	default:
		return interval
	}
	ingress := l.rng.IntN(l.cluster.Ingresses)
	l.inFlight.Go(func() {
		defer func() { <-l.slots }()
		l.send(id, q, ingress)
	})
	return interval
}

// quota returns the rate of a member's plan at a time, in units per second.
func (l *load) quota(member int, now time.Time) float64 {
	if l.cluster.changedBy(now) && changesPlan(member) {
		return otherPlan(member).Rate
	}
	return firstPlan(member).Rate
}

// send sends a request to an ingress and records how it ended.
func (l *load) send(id string, q *request, ingress int) {
	message := l.newRequest(id, q, ingress)
	q.sentAt = time.Now()
	answer, err := l.client.Do(message)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	q.latency = time.Since(q.sentAt)
	if err != nil {
		q.outcome = lost
	} else {
		q.outcome = outcomeOf(answer.StatusCode)
		q.retryAfter = q.outcome == rejected && answer.Header.Get("Retry-After") != ""
	}
	l.mu.Lock()
	l.requests[id] = q
	l.mu.Unlock()
}

// newRequest builds the HTTP request.
func (l *load) newRequest(id string, q *request, ingress int) *http.Request {
	method, class, body := http.MethodGet, "quote-read", ""
	if q.atMostOnce {
		method, class, body = http.MethodPost, "summary-send", "a summary"
	}
	url := "http://" + l.cluster.ingressAddr(ingress) + "/api/" + memberName(q.member)
	message, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: the method and the URL are built above
	}
	message.Header.Set("X-Request-ID", id)
	message.Header.Set("X-Priority-Class", class)
	message.Header.Set("X-Tier", "basic")
	message.Header.Set("X-Timeout", "1.5")
	message.Header.Set("X-Call-Terms", fmt.Sprintf("units=%g,spread=%d,first=0", q.units, l.cluster.Ingresses))
	return message
}

// outcomeOf returns the outcome of a request that was answered with a status.
func outcomeOf(status int) outcome {
	switch status {
	case http.StatusOK:
		return served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return rejected
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return failed
	}
	return wrong
}
