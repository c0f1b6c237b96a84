package faulttest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinrouter/internal/standalone/counterserver"
	"mulleinrouter/internal/standalone/fleet/quotasync"
	"mulleinrouter/internal/standalone/jsontext"
)

// customerLoad is what a customer customerLoad for, in times its quota, and how much of that comes through its busyPart ingress.
const (
	customerLoad = 1.2
	busyPart     = 0.85
)

// startCustomers send requests: each through all ingresses, for the most part through one, which a shift moves on.
func (w *environment) startCustomers(stop <-chan struct{}, out *sync.WaitGroup) {
	if w.scenario.Customers == 0 {
		return
	}
	client := &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second},
	}
	limit := make(chan struct{}, 512) // requests out at once
	for c := range w.scenario.Customers {
		for i, n := range w.nodes {
			out.Add(1)
			go func() {
				defer out.Done()
				owed, last := 0.0, time.Now()
				for id := 0; ; {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					part := (1 - busyPart) / float64(max(1, len(w.nodes)-1))
					if (c+int(w.busyShift.Load()))%len(w.nodes) == i {
						part = busyPart
					}
					now := time.Now()
					owed = min(20, owed+now.Sub(last).Seconds()*customerLoad*part*w.scenario.Quota)
					last = now
					for ; owed >= 1; owed-- {
						id++
						select {
						case limit <- struct{}{}:
						default:
							continue // the machine is behind: what is not asked is not served
						}
						requestID := fmt.Sprintf("c%d-%s-%d", c, n.name, id)
						go func() {
							defer func() { <-limit }()
							w.sendRequest(client, n, c, requestID)
						}()
					}
				}
			}()
		}
	}
}

// sendRequest sends one request of a customer.
func (w *environment) sendRequest(client *http.Client, n *node, customer int, id string) {
	ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/api/%016x", n.clientAddr, 0x100+customer), nil)
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "quote-read", "X-Tier": "customer",
		"X-Timeout":    "1.000",
		"X-Call-Terms": fmt.Sprintf("units=1,spread=%d,first=0", len(w.nodes))} {
		req.Header.Set(k, v)
	}
	if a, err := client.Do(req); err == nil {
		a.Body.Close()
	}
}

// setCounter has the counter be gone, back as it was, back empty, or another one for each second ingress.
func (w *environment) setCounter(word string) error {
	another := func() (string, error) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
		c := counterserver.New(1)
		go c.Serve(l)
		w.extraCounters, w.extraListeners = append(w.extraCounters, c), append(w.extraListeners, l)
		return l.Addr().String(), nil
	}
	first := w.counterListener.Addr().String()
	switch word {
	case "gone":
		first = ""
	case "empty":
		var err error
		if first, err = another(); err != nil {
			return err
		}
	}
	second := first
	if word == "split" {
		var err error
		if second, err = another(); err != nil {
			return err
		}
	}
	for i, n := range w.nodes {
		n.counterRelay.Target([]string{first, second}[i%2])
		n.counterRelay.Drop()
	}
	return nil
}

// findUse counts what arrived of each customer at the quote servers in a time, against its quota and what it may use
// at once.
func (p *player) findUse(f Finding, from time.Time) Finding {
	e := f.Expectation
	use := make([]float64, p.env.scenario.Customers)
	for id, a := range p.env.arrived() {
		var c int
		if _, err := fmt.Sscanf(
			id,
			"c%d-",
			&c,
		); err == nil && strings.HasPrefix(id, "c") && c < len(use) && a.First.After(from) &&
			a.First.Before(from.Add(e.Within)) {
			use[c]++
		}
	}
	quota := p.env.scenario.Quota * e.Within.Seconds()
	f.Passed = true
	low, high := use[0]/quota, use[0]/quota
	for _, u := range use {
		low, high = min(low, u/quota), max(high, u/quota)
		f.Passed = f.Passed && u <= e.Max*quota && u >= e.Min*quota
	}
	f.Text = fmt.Sprintf("%.2f to %.2f of the quota", low, high)
	return f
}

// warning is that a member was warned of servers at a moment.
type warning struct {
	at     time.Time
	member string
}

// watchShared asks all for what others warn them of.
func (p *player) watchShared(stop <-chan struct{}) {
	for p.env.scenario.ShareQuotas {
		for _, n := range p.env.nodes {
			process := n.running()
			if process == nil || process.Stopped() {
				continue
			}
			var r quotasync.Report
			if lines, err := call(
				process.Mgmt,
				"STATE -",
			); err != nil || len(lines) == 0 || jsontext.Decode([]byte(lines[0]), &r) != nil ||
				len(r.WarnedServers) == 0 {
				continue
			}
			p.mu.Lock()
			p.warnings = append(p.warnings, warning{time.Now(), n.name})
			p.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

// findWarned looks for who was warned.
func (p *player) findWarned(f Finding, of []string, from time.Time, limit time.Duration) Finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]time.Duration{}
	for _, w := range p.warnings {
		if _, known := first[w.member]; !known && slices.Contains(of, w.member) && w.at.After(from) &&
			w.at.Before(from.Add(limit)) {
			first[w.member] = w.at.Sub(from)
		}
	}
	if f.Passed = len(first) == 0; f.Expectation.Value == "some" {
		f.Passed = len(first) == len(of)
	}
	for _, at := range first {
		f.Times = append(f.Times, at)
	}
	f.Text = fmt.Sprintf("%d of %d were", len(first), len(of))
	return f
}
