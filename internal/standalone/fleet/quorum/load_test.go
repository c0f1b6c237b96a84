package quorum_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/quorum/boltstore"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// group is a group of three voters with real stores, and ingresses that request all roles. It runs in simulated time
// on a network without delay.
type group struct {
	now          float64 // seconds
	voterNames   []string
	voters       map[string]*quorum.Voter
	holders      map[string]*singleton.LeaseHolder
	partitioned  bool // requests of ingresses do not reach the voters
	requests     int
	messageBytes int
	cpu          map[string]time.Duration // CPU time by voter
}

// newGroup returns a group whose ingresses request all roles.
func newGroup(t *testing.T, ingresses, roles int) *group {
	t.Helper()
	g := &group{
		now:     1000,
		voters:  map[string]*quorum.Voter{},
		holders: map[string]*singleton.LeaseHolder{},
		cpu:     map[string]time.Duration{},
	}
	dir := t.TempDir()
	for i := range 3 {
		g.voterNames = append(g.voterNames, fmt.Sprint("v", i))
	}
	for _, name := range g.voterNames {
		store := &boltstore.Store{Path: filepath.Join(dir, name)}
		t.Cleanup(func() { store.Close() })
		voter, err := quorum.Open(name, g.voterNames, store, 1<<40)
		if err != nil {
			t.Fatal(err)
		}
		g.voters[name] = voter
	}
	for i := range ingresses {
		name := ingressName(i)
		g.holders[name] = singleton.NewLeaseHolder(singleton.Identity{Name: name, Boot: 1, Nonce: 1}, "a")
		for role := range roles {
			g.stepLeaseHolder(name, singleton.Acquire{Role: roleName(role)})
		}
	}
	return g
}

func ingressName(i int) string { return fmt.Sprint("in", i) }

func roleName(i int) string { return fmt.Sprint("duty", i) }

// cpuTime returns the CPU time that this process has used on all cores.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (g *group) stepVoter(name string, do func(*quorum.Voter) quorum.Output) {
	before := cpuTime()
	output := do(g.voters[name])
	g.cpu[name] += cpuTime() - before
	for _, message := range output.Messages {
		g.messageBytes += len(message.Data)
		g.stepVoter(message.To, func(v *quorum.Voter) quorum.Output {
			output, _ := v.Receive(g.now, message.Data)
			return output
		})
	}
	for _, reply := range output.Replies {
		g.stepLeaseHolder(reply.To.Name, singleton.ResponseReceived{Response: reply.Response})
	}
	for _, ingress := range output.Wake {
		g.stepLeaseHolder(ingress, singleton.WakeReceived{})
	}
}

func (g *group) stepLeaseHolder(name string, event singleton.LeaseHolderEvent) {
	for _, action := range g.holders[name].Step(g.now, event) {
		send, ok := action.(singleton.SendRequest)
		if !ok || g.partitioned {
			continue
		}
		g.requests++
		for _, voter := range g.voterNames {
			g.stepVoter(voter, func(v *quorum.Voter) quorum.Output { return v.HandleRequest(g.now, send.Request) })
		}
	}
}

func (g *group) run(seconds float64) {
	for end := g.now + seconds; g.now < end; g.now += quorum.TickInterval {
		for _, name := range g.voterNames {
			g.stepVoter(name, func(v *quorum.Voter) quorum.Output { return v.Tick(g.now) })
		}
		for i := range len(g.holders) {
			g.stepLeaseHolder(ingressName(i), singleton.LeaseHolderTick{})
		}
	}
}

// assignedRoles counts the roles that have a holder, and checks that none has two.
func (g *group) assignedRoles(t *testing.T, roles int) (count int) {
	t.Helper()
	for role := range roles {
		holder := ""
		for name, h := range g.holders {
			if _, ok := h.FencingToken(g.now, roleName(role)); !ok {
				continue
			}
			if holder != "" {
				t.Errorf("%s and %s hold role %d", holder, name, role)
			}
			holder = name
			count++
		}
	}
	return count
}

// TestLoad checks that many ingresses can hold many roles, even if all request them at once after their requests did
// not reach the voters for a while. It logs load figures; those of the design note come from
// MULLEIN_LONG=1 go test ./internal/standalone/fleet/quorum -run Load -v.
func TestLoad(t *testing.T) {
	ingresses, roles := 30, 6
	if os.Getenv("MULLEIN_LONG") != "" {
		ingresses, roles = 300, 50
	}
	g := newGroup(t, ingresses, roles)
	g.run(12)
	if got := g.assignedRoles(t, roles); got != roles {
		t.Fatalf("%d roles are held, want %d", got, roles)
	}

	clear(g.cpu)
	g.requests, g.messageBytes = 0, 0
	applied := g.voters[g.voterNames[0]].Status().Applied
	const loadSeconds = 5
	g.run(loadSeconds)
	status := g.voters[g.voterNames[0]].Status()
	follower := min(g.cpu["v0"], g.cpu["v1"], g.cpu["v2"])
	t.Logf("%d ingresses, %d roles: %d requests a second, %d entries and %d bytes among voters a second",
		ingresses, roles, g.requests/loadSeconds, int(status.Applied-applied)/loadSeconds, g.messageBytes/loadSeconds)
	t.Logf("the leader uses %.1f%% of a core, another voter %.1f%%",
		g.cpu[status.Leader].Seconds()/loadSeconds*100, follower.Seconds()/loadSeconds*100)

	g.partitioned = true
	g.run(10)
	if got := g.assignedRoles(t, roles); got != 0 {
		t.Errorf("%d roles are held without any voter, want 0", got)
	}

	g.partitioned = false
	began := g.now
	const recoverySeconds = 20
	for g.assignedRoles(t, roles) < roles && g.now < began+recoverySeconds {
		g.run(0.5)
	}
	t.Logf("after 10 s without voters all roles are held again after %.1f s", g.now-began)
	if g.now >= began+recoverySeconds {
		t.Errorf("%d roles are held again, want %d", g.assignedRoles(t, roles), roles)
	}
}

// TestStartFromSnapshot checks that a voter that has applied many entries starts from its snapshot with the same table.
func TestStartFromSnapshot(t *testing.T) {
	entries := 10_000
	if os.Getenv("MULLEIN_LONG") != "" {
		entries = 100_000
	}
	store := &boltstore.Store{Path: filepath.Join(t.TempDir(), "votes")}
	t.Cleanup(func() { store.Close() })
	voter, err := quorum.Open("v", []string{"v"}, store, 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	now := tickUntilLeading(voter, 1000)
	now = renewUntilApplied(voter, now, entries)
	want := voter.Table().Clone()

	began := time.Now()
	voter, err = quorum.Open("v", []string{"v"}, store, 1<<40)
	took := time.Since(began)
	if err != nil {
		t.Fatal(err)
	}
	tickUntilLeading(voter, now)
	got := voter.Table()
	if got.LastToken != want.LastToken || len(got.Leases) != len(want.Leases) {
		t.Errorf("got token %d and %d roles, want token %d and %d roles",
			got.LastToken, len(got.Leases), want.LastToken, len(want.Leases))
	}
	if applied := int(voter.Status().Applied); applied < entries {
		t.Errorf("got %d applied entries, want at least %d", applied, entries)
	}
	t.Logf("after %d entries: opened in %v, a file of %d kB", entries, took, store.Size()>>10)
}

// tickUntilLeading ticks a voter until it leads, for at most 100 s of simulated time, and returns the time.
func tickUntilLeading(voter *quorum.Voter, now float64) float64 {
	for end := now + 100; !voter.Status().Leading && now < end; now += quorum.TickInterval {
		voter.Tick(now)
	}
	return now
}

// renewUntilApplied sends a leader the requests of an ingress that holds all roles, until the leader has applied a
// number of entries, but not beyond second 2000 of simulated time, and returns the time.
func renewUntilApplied(voter *quorum.Voter, now float64, entries int) float64 {
	r := singleton.AcquireRequest{From: singleton.Identity{Name: "a", Boot: 1}}
	for role := range singleton.MaxRoles {
		r.Roles = append(r.Roles, singleton.RoleRequest{Role: roleName(role)})
	}
	for ; int(voter.Status().Applied) < entries && now < 2000; now += quorum.TickInterval {
		r.ID++
		voter.HandleRequest(now, r)
		voter.Tick(now)
		for i := range r.Roles {
			r.Roles[i].Token = voter.Table().Leases[r.Roles[i].Role].Token
		}
	}
	return now
}
