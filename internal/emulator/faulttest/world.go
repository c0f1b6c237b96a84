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

// world is what a rehearsal plays in.
type world struct {
	t       *Timeline
	program string
	dir     string
	links   *faultnet.Links
	network string // first three numbers of the members' addresses

	billing  *fakes.Billing
	quotes   []*fakes.Quotes
	counter  *counterserver.Server
	counterL net.Listener
	others   []*counterserver.Server // counters in place of the first, or beside it
	otherL   []net.Listener
	shift    atomic.Int64 // by how many ingresses the customers' busy ones have moved
	nodes    []*node
	keys     []string

	mu    sync.Mutex
	byIP  map[string]string // member by the address that it calls from
	relay []*faultnet.Relay
	lists []*fakes.Discovery
}

type span struct{ from, to time.Time } // to is zero: not over yet

var worlds atomic.Int64

// newWorld has the stand-ins up and the files written.
func newWorld(t *Timeline, program, dir string) (w *world, err error) {
	w = &world{t: t, program: program, dir: dir, links: faultnet.NewLinks(t.Seed), byIP: map[string]string{}}
	// Of this rehearsal alone, but for rare chance: a port that one lets go of must not be another's member.
	n := os.Getpid() + 1009*int(worlds.Add(1))
	w.network = fmt.Sprintf("127.%d.%d", 64+n/200%64, 1+n%200)
	for i := range max(1, t.Servers) {
		q := &fakes.Quotes{Cores: 16, Queue: 64, Work: 2 * time.Millisecond, Salt: uint64(i)}
		if err := q.Start(); err != nil {
			return w, err
		}
		w.quotes = append(w.quotes, q)
	}
	w.billing = &fakes.Billing{}
	if err := w.billing.Start(); err != nil {
		return w, err
	}
	if w.counterL, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return w, fmt.Errorf("rehearsal: %w", err)
	}
	w.counter = counterserver.New(1)
	go w.counter.Serve(w.counterL)
	if t.Sealed {
		w.keys = []string{newKey()}
	}
	for i, name := range t.Names() {
		n := &node{name: name, ip: fmt.Sprintf("%s.%d", w.network, i+1), folder: filepath.Join(dir, name)}
		n.saved = n.folder + ".saved"
		w.mu.Lock()
		w.byIP[n.ip] = name
		w.mu.Unlock()
		w.nodes = append(w.nodes, n)
		if err := os.MkdirAll(n.folder, 0o755); err != nil {
			return w, fmt.Errorf("rehearsal: %w", err)
		}
		if t.Catalogue {
			if err := w.revise(n, 1); err != nil {
				return w, err
			}
		}
		for _, a := range []*string{&n.listen, &n.bound} {
			if *a, err = free(n.ip); err != nil {
				return w, err
			}
		}
		if n.gate, err = w.before(name, true, func(a net.Addr) string { return w.caller(a) }, n.bound); err != nil {
			return w, err
		}
		if err := w.stands(n); err != nil {
			return w, err
		}
	}
	return w, w.writeKeys()
}

// free draws a port of an address that no other process has. Nothing else binds there.
func free(ip string) (string, error) {
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

func (w *world) caller(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	w.mu.Lock()
	defer w.mu.Unlock()
	return cmp.Or(w.byIP[host], "stranger")
}

// before puts a relay before an end.
func (w *world) before(
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
	w.relay = append(w.relay, r)
	return r, nil
}

// stands puts a member's own relays before the stand-ins: at these, the listener tells who calls.
func (w *world) stands(n *node) error {
	me := func(net.Addr) string { return n.name }
	d := &fakes.Discovery{}
	if err := d.Start(); err != nil {
		return err
	}
	w.lists = append(w.lists, d)
	for i, q := range w.quotes {
		r, err := w.before(stands[quotesAt+i], false, me, q.Addr())
		if err != nil {
			return err
		}
		r.As(n.ip)
		d.Tell(
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
	list, err := w.before("discovery", false, me, d.Addr())
	if err != nil {
		return err
	}
	counter, err := w.before("counter", false, me, w.counterL.Addr().String())
	if err != nil {
		return err
	}
	bill, err := w.before("billing", false, me, w.billing.Addr())
	if err != nil {
		return err
	}
	for _, r := range []*faultnet.Relay{list, counter} {
		r.As(n.ip) // the counter bounds the connections of an address
	}
	n.list, n.counter, n.bill = list.Addr(), counter.Addr(), bill.Addr()
	n.counts = counter
	return nil
}

func (w *world) keyFile() string { return filepath.Join(w.dir, "fleet.key") }

func (w *world) writeKeys() error {
	if !w.t.Sealed {
		return nil
	}
	if err := os.WriteFile(w.keyFile(), []byte(strings.Join(w.keys, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}

// config writes a member's own file. Each start has a management address of its own.
func (w *world) config(n *node, i int, twin bool) (string, error) {
	var join []string
	for _, o := range w.nodes[:min(3, len(w.nodes))] {
		join = append(join, fmt.Sprintf("%q", o.gate.Addr()))
	}
	listen, bound, gate, folder := n.listen, n.bound, n.gate.Addr(), n.folder
	if twin { // another machine with the same name: its own addresses, an empty folder
		folder = n.folder + ".twin"
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
		ip := fmt.Sprintf("%s.%d", w.network, 200+i)
		w.mu.Lock()
		w.byIP[ip] = n.name
		w.mu.Unlock()
		var err error
		if listen, err = free(ip); err != nil {
			return "", err
		}
		if bound, err = free(ip); err != nil {
			return "", err
		}
		r, err := w.before(n.name, true, func(a net.Addr) string { return w.caller(a) }, bound)
		if err != nil {
			return "", err
		}
		gate = r.Addr()
	}
	keys := ""
	if w.t.Sealed {
		keys = fmt.Sprintf("key_file = %q", w.keyFile())
	}
	voters, use, plan := "", "", "plan \"basic\" {\n  rate  = 1000\n  burst = 1000\n  price = 1\n}\n"
	if w.t.Voters > 0 {
		var names []string
		for _, name := range w.t.Names()[:w.t.Voters] {
			names = append(names, fmt.Sprintf("%q", name))
		}
		voters = fmt.Sprintf("voters = [%s]", strings.Join(names, ", "))
		use = fmt.Sprintf(
			"usage {\n  dir = %q\n  rotate = \"1s\"\n  endpoint = %q\n}\n",
			n.usage(),
			"http://"+n.bill+"/v1/batches",
		)
		if err := os.MkdirAll(n.usage(), 0o755); err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
	}
	share := ""
	if w.t.Share {
		share = "share = true"
	}
	if w.t.Customers > 0 {
		plan += fmt.Sprintf(
			"plan \"customer\" {\n  rate         = %g\n  burst        = %g\n  price        = 1\n  beyond_costs = 1\n}\n",
			w.t.Quota,
			w.t.Quota,
		)
	}
	if w.t.Catalogue {
		plan = fmt.Sprintf("catalogue {\n  file     = %q\n  announce = true\n}\n", n.plans())
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
		n.name, listen, folder, n.list, len(w.nodes), i, w.network, bound,
		gate, strings.Join(join, ", "), cmp.Or(w.t.Interval, "300ms"), keys, voters, share, use, plan, n.counter)
	path := n.folder + map[bool]string{false: ".hcl", true: ".twin.hcl"}[twin]
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", fmt.Errorf("rehearsal: %w", err)
	}
	return path, nil
}

// revise writes a revision into a member's file: under one number, each member's has another content.
func (w *world) revise(n *node, number uint64) error {
	i := slices.Index(w.nodes, n)
	r := plans.Revision{
		Number:    number,
		Authority: plans.AuthorityHeader,
		Plans:     []decision.Plan{{Name: "basic", Rate: 1000 + float64(i), Burst: 1000, ValueWeight: 1}},
	}
	if number > 1 {
		r.EffectiveAt = float64(time.Now().Add(time.Second).UnixMilli()) / 1000
	}
	return catalogue.Save(n.plans(), []plans.Revision{r})
}

// rubbish sends a member what is not of its fleet.
func (w *world) rubbish(n *node) error {
	c, err := net.Dial("udp4", n.bound)
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
	s, err := net.Dial("tcp4", n.bound)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer s.Close()
	s.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	return nil
}

// clients send a request to each member now and then.
type clients struct {
	mu                       sync.Mutex
	sent, served, unanswered int
	why                      string
}

func (w *world) load(stop <-chan struct{}) (*clients, *sync.WaitGroup) {
	all, out := &clients{}, &sync.WaitGroup{}
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
				req, _ := http.NewRequest("GET", "http://"+n.listen+"/api/0000000000000001", nil)
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
				case !n.wasOff(begun, time.Second) && !n.wasOff(time.Now(), 0):
					all.unanswered++
					all.why = fmt.Sprintf("%s: %v", n.name, err)
				}
				all.mu.Unlock()
			}
		}()
	}
	return all, out
}

// arrived is what arrived at all quote servers.
func (w *world) arrived() map[string]fakes.Arrival {
	all := map[string]fakes.Arrival{}
	for _, q := range w.quotes {
		maps.Copy(all, q.Arrived())
	}
	return all
}

// close ends all that was started.
func (w *world) close() {
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
	for _, r := range w.relay {
		r.Close()
	}
	for _, d := range w.lists {
		d.Stop()
	}
	for _, q := range w.quotes {
		q.Stop()
	}
	if w.billing != nil {
		w.billing.Stop()
	}
	if w.counter != nil {
		w.counterL.Close()
		w.counter.Close()
		for i, c := range w.others {
			w.otherL[i].Close()
			c.Close()
		}
	}
}

// copyFolder replaces a folder by a copy of another.
func copyFolder(to, from string) error {
	if err := errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(from))); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}
