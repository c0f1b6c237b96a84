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

// Outcome is what a client saw.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota // 200
	Refused                // 429 or 503
	Failed                 // 502 or 504
	Wrong                  // any other answer
	Lost                   // none: the connection broke, or the client's time was up
)

var outcomes = [...]string{"served", "refused", "failed", "wrong", "lost"}

func (o Outcome) String() string { return outcomes[o] }

// request is one that a client sent.
type request struct {
	member  int
	units   float64
	unsafe  bool
	at      time.Time
	took    time.Duration
	outcome Outcome
	advice  bool
}

// load sends the members' requests, at times that do not wait for answers.
type load struct {
	cluster *Run
	client  *http.Client
	factors []float64 // of a member: asked, in times its quota
	mu      sync.Mutex
	all     map[string]*request
	out     sync.WaitGroup
}

// mostOut bounds the requests that are out at once: were the ingresses to hang, the rig must not.
const mostOut = 4000

func newLoad(r *Run) *load {
	l := &load{cluster: r, all: map[string]*request{}, client: &http.Client{
		Timeout: clientMost,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 400, IdleConnTimeout: time.Second,
			DisableCompression: true},
	}}
	for i := range r.Members {
		// Near their quotas: from 0.6 to 1.4 times the average, and every fourth far beyond.
		f := r.Load * (0.6 + 0.8*r.rng.Float64())
		if heavy(i) {
			f = r.Load * 2
		}
		l.factors = append(l.factors, f)
	}
	return l
}

// heavy tells whether a member asks for twice the average.
func heavy(i int) bool { return i%8 >= 6 }

// run sends until the run's time is up, and waits for the answers.
func (l *load) run(ctx context.Context) {
	r := l.cluster
	rng := rand.New(rand.NewPCG(r.Seed, 2))
	end := r.begun.Add(time.Duration(r.Seconds * float64(time.Second)))
	next := make([]time.Time, r.Members)
	for i := range next {
		next[i] = r.begun.Add(time.Duration(rng.Float64() * float64(time.Second)))
	}
	places := make(chan struct{}, mostOut)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	id := 0
	for now := range ticker.C {
		if now.After(end) || ctx.Err() != nil {
			break
		}
		for i := range next {
			for next[i].Before(now) {
				id++
				q := &request{member: i, units: float64(1 + rng.IntN(mostUnits)), unsafe: rng.IntN(5) == 0}
				rate := l.factors[i] * l.quota(i, now) / 1.5 // requests a second: units are 1.5 on average
				next[i] = next[i].Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				select {
				case places <- struct{}{}:
				default:
					continue // never sent: not among those that were asked
				}
				l.out.Add(1)
				go func(id, ingress int) {
					defer l.out.Done()
					defer func() { <-places }()
					l.send(fmt.Sprintf("r%07d", id), q, ingress)
				}(id, rng.IntN(r.Ingresses))
			}
		}
	}
	l.out.Wait()
	l.client.CloseIdleConnections()
}

// quota is what a member may ask by the plan that it is on at a time, in units a second.
func (l *load) quota(i int, now time.Time) float64 {
	r := l.cluster
	plan := []string{"basic", "plus"}[i%2]
	if !r.changedBy(now) || i%5 != 0 {
		return rateOf(plan)
	}
	return rateOf([]string{"plus", "basic"}[i%2])
}

func rateOf(plan string) float64 {
	if plan == "plus" {
		return plus.Rate
	}
	return basic.Rate
}

// send asks one of the ingresses.
func (l *load) send(id string, q *request, ingress int) {
	r := l.cluster
	l.mu.Lock()
	addr := r.nodes[ingress].Addr
	l.mu.Unlock()
	method, class, body := "GET", "quote-read", ""
	if q.unsafe {
		method, class, body = "POST", "summary-send", "a summary"
	}
	ask, err := http.NewRequest(method, "http://"+addr+"/api/"+member(q.member), strings.NewReader(body))
	if err != nil {
		panic(err) // of our own making
	}
	for name, value := range map[string]string{
		"X-Request-ID": id, "X-Priority-Class": class, "X-Tier": "basic", "X-Timeout": "1.5",
		"X-Call-Terms": fmt.Sprintf("units=%g,spread=%d,first=0", q.units, r.Ingresses),
	} {
		ask.Header.Set(name, value)
	}
	q.at = time.Now()
	answer, err := l.client.Do(ask)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	q.took = time.Since(q.at)
	switch {
	case err != nil:
		q.outcome = Lost
	case answer.StatusCode == 200:
		q.outcome = Served
	case answer.StatusCode == 503 || answer.StatusCode == 429:
		q.outcome, q.advice = Refused, answer.Header.Get("Retry-After") != ""
	case answer.StatusCode == 502 || answer.StatusCode == 504:
		q.outcome = Failed
	default:
		q.outcome = Wrong
	}
	l.mu.Lock()
	l.all[id] = q
	l.mu.Unlock()
}
