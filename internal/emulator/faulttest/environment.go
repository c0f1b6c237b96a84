package faulttest

import (
	"cmp"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/counterserver"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/plans"
)

// environment is what a rehearsal plays in.
type environment struct {
	scenario      *Scenario
	program       string
	dir           string
	links         *faultnet.Links
	addressPrefix string // first three numbers of the members' addresses

	billing         *fakes.Billing
	quoteServers    []*fakes.QuoteServer
	counter         *counterserver.Server
	counterListener net.Listener
	extraCounters   []*counterserver.Server // counters in place of the first, or beside it
	extraListeners  []net.Listener
	busyShift       atomic.Int64 // by how many ingresses the customers' busy ones have moved
	nodes           []*node
	keys            []string

	mu          sync.Mutex
	memberByIP  map[string]string // member by the address that it calls from
	relays      []*faultnet.Relay
	directories []*fakes.Discovery
}

type absence struct{ from, to time.Time } // to is zero: not over yet

var environments atomic.Int64

// newEnvironment has the stand-ins up and the files written.
func newEnvironment(t *Scenario, program, dir string) (w *environment, err error) {
	w = &environment{scenario: t, program: program, dir: dir, links: faultnet.NewLinks(t.Seed), memberByIP: map[string]string{}}
	// Of this rehearsal alone, but for rare chance: a port that one lets go of must not be another's member.
	n := os.Getpid() + 1009*int(environments.Add(1))
	w.addressPrefix = fmt.Sprintf("127.%d.%d", 64+n/200%64, 1+n%200)
	for i := range max(1, t.QuoteServers) {
		q := &fakes.QuoteServer{Cores: 16, Queue: 64, ServiceTime: 2 * time.Millisecond, Salt: uint64(i)}
		if err := q.Start(); err != nil {
			return w, err
		}
		w.quoteServers = append(w.quoteServers, q)
	}
	w.billing = &fakes.Billing{}
	if err := w.billing.Start(); err != nil {
		return w, err
	}
	if w.counterListener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return w, fmt.Errorf("rehearsal: %w", err)
	}
	w.counter = counterserver.New(1)
	go w.counter.Serve(w.counterListener)
	if t.Encrypted {
		w.keys = []string{newKey()}
	}
	for i, name := range t.Names() {
		n := &node{name: name, ip: fmt.Sprintf("%s.%d", w.addressPrefix, i+1), dir: filepath.Join(dir, name)}
		n.savedDir = n.dir + ".saved"
		w.mu.Lock()
		w.memberByIP[n.ip] = name
		w.mu.Unlock()
		w.nodes = append(w.nodes, n)
		if err := os.MkdirAll(n.dir, 0o755); err != nil {
			return w, fmt.Errorf("rehearsal: %w", err)
		}
		if t.Catalogue {
			if err := w.writeRevision(n, 1); err != nil {
				return w, err
			}
		}
		for _, a := range []*string{&n.clientAddr, &n.gossipAddr} {
			if *a, err = freeAddr(n.ip); err != nil {
				return w, err
			}
		}
		if n.relay, err = w.addRelay(name, true, func(a net.Addr) string { return w.caller(a) }, n.gossipAddr); err != nil {
			return w, err
		}
		if err := w.startFakes(n); err != nil {
			return w, err
		}
	}
	return w, w.writeKeys()
}

// freeAddr draws a port of an address that no other process has. Nothing else binds there.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", fmt.Errorf("rehearsal: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newKey() string {
	var key [32]byte
	rand.Read(key[:])
	return base64.StdEncoding.EncodeToString(key[:])
}

func (w *environment) caller(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	w.mu.Lock()
	defer w.mu.Unlock()
	return cmp.Or(w.memberByIP[host], "stranger")
}

// addRelay puts a relay addRelay an end.
func (w *environment) addRelay(
	to string,
	datagrams bool,
	caller func(net.Addr) string,
	target string,
) (*faultnet.Relay, error) {
	r, err := faultnet.NewRelay(to, w.links, datagrams, caller)
	if err != nil {
		return nil, err
	}
	r.Target(target)
	w.relays = append(w.relays, r)
	return r, nil
}

// startFakes puts a member's own relays before the stand-ins: at these, the listener tells who calls.
func (w *environment) startFakes(n *node) error {
	me := func(net.Addr) string { return n.name }
	d := &fakes.Discovery{}
	if err := d.Start(); err != nil {
		return err
	}
	w.directories = append(w.directories, d)
	for i, q := range w.quoteServers {
		r, err := w.addRelay(standIns[firstQuoteServer+i], false, me, q.Addr())
		if err != nil {
			return err
		}
		r.As(n.ip)
		d.Update(
			discovery.Target{
				UID:      fmt.Sprint("quotes-", i+1),
				Endpoint: r.Addr(),
				Zone:     "a",
				Model:    "a",
				State:    "active",
				Capacity: 1,
			},
		)
	}
	list, err := w.addRelay("discovery", false, me, d.Addr())
	if err != nil {
		return err
	}
	counter, err := w.addRelay("counter", false, me, w.counterListener.Addr().String())
	if err != nil {
		return err
	}
	bill, err := w.addRelay("billing", false, me, w.billing.Addr())
	if err != nil {
		return err
	}
	for _, r := range []*faultnet.Relay{list, counter} {
		r.As(n.ip) // the counter bounds the connections of an address
	}
	n.discovery, n.counter, n.billing = list.Addr(), counter.Addr(), bill.Addr()
	n.counterRelay = counter
	return nil
}

func (w *environment) keyFile() string { return filepath.Join(w.dir, "fleet.key") }

func (w *environment) writeKeys() error {
	if !w.scenario.Encrypted {
		return nil
	}
	if err := os.WriteFile(w.keyFile(), []byte(strings.Join(w.keys, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}

// writeConfig writes a member's own file. Each start has a management address of its own.
func (w *environment) writeConfig(n *node, i int, twin bool) (string, error) {
	var join []string
	for _, o := range w.nodes[:min(3, len(w.nodes))] {
		join = append(join, fmt.Sprintf("%q", o.relay.Addr()))
	}
	listen, bound, gate, folder := n.clientAddr, n.gossipAddr, n.relay.Addr(), n.dir
	if twin { // another machine with the same name: its own addresses, an empty folder
		folder = n.dir + ".twin"
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
		ip := fmt.Sprintf("%s.%d", w.addressPrefix, 200+i)
		w.mu.Lock()
		w.memberByIP[ip] = n.name
		w.mu.Unlock()
		var err error
		if listen, err = freeAddr(ip); err != nil {
			return "", err
		}
		if bound, err = freeAddr(ip); err != nil {
			return "", err
		}
		r, err := w.addRelay(n.name, true, func(a net.Addr) string { return w.caller(a) }, bound)
		if err != nil {
			return "", err
		}
		gate = r.Addr()
	}
	keys := ""
	if w.scenario.Encrypted {
		keys = fmt.Sprintf("key_file = %q", w.keyFile())
	}
	voters, use, plan := "", "", "plan \"basic\" {\n  rate  = 1000\n  burst = 1000\n  price = 1\n}\n"
	if w.scenario.Voters > 0 {
		var names []string
		for _, name := range w.scenario.Names()[:w.scenario.Voters] {
			names = append(names, fmt.Sprintf("%q", name))
		}
		voters = fmt.Sprintf("voters = [%s]", strings.Join(names, ", "))
		use = fmt.Sprintf(
			"usage {\n  dir = %q\n  rotate = \"1s\"\n  endpoint = %q\n}\n",
			n.usageDir(),
			"http://"+n.billing+"/v1/batches",
		)
		if err := os.MkdirAll(n.usageDir(), 0o755); err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
	}
	share := ""
	if w.scenario.ShareQuotas {
		share = "share = true"
	}
	if w.scenario.Customers > 0 {
		plan += fmt.Sprintf(
			"plan \"customer\" {\n  rate         = %g\n  burst        = %g\n  price        = 1\n  beyond_costs = 1\n}\n",
			w.scenario.Quota,
			w.scenario.Quota,
		)
	}
	if w.scenario.Catalogue {
		plan = fmt.Sprintf("catalogue {\n  file     = %q\n  announce = true\n}\n", n.plansFile())
	}
	text := fmt.Sprintf(`
name      = %q
listen    = %q
mgmt      = "127.0.0.1:0"
state     = %q
discovery = %q

fleet {
  ingresses = %d
  number    = %d
  zone      = "a"
  membership {
    fleet     = "rehearsal %s"
    listen    = %q
    advertise = %q
    join      = [%s]
    interval  = %q
    %s
    %s
    %s
  }
}

%s

%s

counter {
  address = %q
}

class "quote-read" {
  aim      = "500ms"
  deadline = "2s"
  repeat   = "safe"
}
`,
		n.name, listen, folder, n.discovery, len(w.nodes), i, w.addressPrefix, bound,
		gate, strings.Join(join, ", "), cmp.Or(w.scenario.Interval, "300ms"), keys, voters, share, use, plan, n.counter)
	path := n.dir + map[bool]string{false: ".hcl", true: ".twin.hcl"}[twin]
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", fmt.Errorf("rehearsal: %w", err)
	}
	return path, nil
}

// writeRevision writes a revision into a member's file: under one number, each member's has another content.
func (w *environment) writeRevision(n *node, number uint64) error {
	i := slices.Index(w.nodes, n)
	r := plans.Revision{
		Number:    number,
		Authority: plans.AuthorityHeader,
		Plans:     []decision.Plan{{Name: "basic", Rate: 1000 + float64(i), Burst: 1000, ValueWeight: 1}},
	}
	if number > 1 {
		r.EffectiveAt = float64(time.Now().Add(time.Second).UnixMilli()) / 1000
	}
	return catalogue.Save(n.plansFile(), []plans.Revision{r})
}

// sendGarbage sends a member what is not of its fleet.
func (w *environment) sendGarbage(n *node) error {
	c, err := net.Dial("udp4", n.gossipAddr)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer c.Close()
	for i := range 40 {
		b := make([]byte, []int{1, 30, 1400, 9000}[i%4])
		rand.Read(b)
		if i%8 == 3 {
			copy(b, "\xf4\x05other") // the head of a label: another fleet's
		}
		c.Write(b)
	}
	s, err := net.Dial("tcp4", n.gossipAddr)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer s.Close()
	s.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	return nil
}

// requestCounts send a request to each member now and then.
type requestCounts struct {
	mu                       sync.Mutex
	sent, served, unanswered int
	lastError                string
}

func (w *environment) startClients(stop <-chan struct{}) (*requestCounts, *sync.WaitGroup) {
	all, out := &requestCounts{}, &sync.WaitGroup{}
	for _, n := range w.nodes {
		out.Add(1)
		go func() {
			defer out.Done()
			// One connection a request: none is idle as a process goes.
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for id := 0; ; id++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				p := n.running()
				if p == nil || p.Stopped() {
					continue
				}
				begun := time.Now()
				req, _ := http.NewRequest("GET", "http://"+n.clientAddr+"/api/0000000000000001", nil)
				for k, v := range map[string]string{"X-Request-ID": fmt.Sprint(n.name, "-", id), "X-Priority-Class": "quote-read",
					"X-Tier":    "basic",
					"X-Timeout": "2.000", "X-Call-Terms": "units=1,spread=1,first=0"} {
					req.Header.Set(k, v)
				}
				a, err := client.Do(req)
				all.mu.Lock()
				all.sent++
				switch {
				case err == nil:
					a.Body.Close()
					if a.StatusCode == 200 {
						all.served++
					}
				case !n.wasAbsent(begun, time.Second) && !n.wasAbsent(time.Now(), 0):
					all.unanswered++
					all.lastError = fmt.Sprintf("%s: %v", n.name, err)
				}
				all.mu.Unlock()
			}
		}()
	}
	return all, out
}

// arrived is what arrived at all quote servers.
func (w *environment) arrived() map[string]fakes.Arrival {
	all := map[string]fakes.Arrival{}
	for _, q := range w.quoteServers {
		maps.Copy(all, q.Arrived())
	}
	return all
}

// close ends all that was started.
func (w *environment) close() {
	var ending sync.WaitGroup
	for _, n := range w.nodes {
		n.mu.Lock()
		all := []*testcluster.Process{n.process, n.twin}
		n.mu.Unlock()
		for _, p := range all {
			if p != nil {
				ending.Add(1)
				go func() { defer ending.Done(); p.Kill() }()
			}
		}
	}
	ending.Wait()
	for _, r := range w.relays {
		r.Close()
	}
	for _, d := range w.directories {
		d.Stop()
	}
	for _, q := range w.quoteServers {
		q.Stop()
	}
	if w.billing != nil {
		w.billing.Stop()
	}
	if w.counter != nil {
		w.counterListener.Close()
		w.counter.Close()
		for i, c := range w.extraCounters {
			w.extraListeners[i].Close()
			c.Close()
		}
	}
}

// copyDir replaces a folder by a copy of another.
func copyDir(to, from string) error {
	if err := errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(from))); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}
