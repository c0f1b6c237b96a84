package node

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/fleet/quotashare"
	"mulleinrouter/internal/standalone/fleet/quotasync"
	"mulleinrouter/internal/standalone/fleet/revisionlog"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/mgmt"
	"mulleinrouter/internal/standalone/plans"
	"mulleinrouter/internal/standalone/state"
)

// Kinds of files.
const (
	fleetRecord = "fleet" // it belongs to the ingress, not to one of its processes
	dutyRecord  = "duty"
	planRecord  = "catalogue"
)

// folder is that of this ingress's state, as a process has it.
func (n *Node) folder(process int64) *state.Folder {
	f := state.Open(n.config.State, n.config.Name, process)
	f.Disk = n.config.Rehearsed.Disk()
	return f
}

// record keeps the fleet's record in the folder of this ingress.
type record struct{ folder *state.Folder }

func (r record) Read(v any) error  { return r.folder.Read(fleetRecord, r.folder.Process(), v) }
func (r record) Write(v any) error { return r.folder.Write(fleetRecord, v) }

// meet begins to know of the other ingresses.
func (n *Node) meet(ctx context.Context) (err error) {
	c, m := n.config, n.config.Membership
	o := gossip.Options{Fleet: m.Fleet, Name: c.Name, Zone: c.Settings.Zone, Version: version(), Listen: m.Listen, Advertise: m.Advertise, Join: m.Join,
		KeyFile: m.KeyFile, Interval: m.Interval, Expect: c.Settings.Gateways, Number: c.Settings.Index, Seed: c.Seed, Log: n.log}
	if c.State != "" {
		o.Store = record{n.folder(0)}
	}
	if n.fleet, err = gossip.Start(o); err != nil {
		return err
	}
	n.watcher.Turn = n.fleet.Rank
	if m.Share {
		self := n.fleet.Self()
		n.sharing = quotasync.New(quotasync.Options{Gossip: n.fleet, ClockRate: c.Rehearsed.Clock(), Log: n.log, Options: quotashare.Options{Name: c.Name, Zone: c.Settings.Zone,
			Ingresses: max(1, c.Settings.Gateways), Incarnation: quotashare.Incarnation{Boot: self.Boot, Nonce: self.Nonce}, HasCounter: n.count != nil}})
		n.engine.SetQuotaSharer(n.sharing)
		n.spawn(func() { n.sharing.Run(ctx, n.engine) })
	}
	if len(m.Voters) > 0 {
		kept := n.folder(int64(os.Getpid())) // of this process: beside a newer one each keeps what it holds itself
		n.duties = leaseservice.Start(leaseservice.Options{Fleet: n.fleet, Zone: c.Settings.Zone, Voters: m.Voters, Dir: c.State, Log: n.log,
			Clock: c.Rehearsed.Clock(), Votes: c.Rehearsed.Votes, Keep: func(r leaseservice.Record) error { return kept.Write(dutyRecord, r) }})
		n.closed = append(n.closed, func() { kept.Remove(dutyRecord, kept.Process()) })
	}
	n.closed = append(n.closed, func() {
		if n.duties != nil {
			n.duties.Stop()
		}
		n.fleet.Leave(n.younger.Load())
		n.fleet.Stop()
	})
	return nil
}

// version is what the build says of itself.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unknown"
}

// moved tells the others where this process is in its life, if that changed.
func (n *Node) moved() {
	if n.fleet == nil {
		return
	}
	switch n.server.Phase() {
	case decision.Serving:
		n.fleet.SetPhase(membership.Serving)
	case decision.LameDuck:
		n.fleet.SetPhase(membership.LameDuck)
	}
}

// goes tells the others that SIGTERM has come, before the listener closes. Where a newer process of this ingress waits for
// the address, it is let go of at once and nothing is said: to the others it is one member.
func (n *Node) goes() {
	if n.duties != nil {
		n.duties.Resign()
	}
	switch {
	case n.fleet == nil:
	case n.younger.Load():
		n.fleet.Leave(true)
	default:
		n.fleet.SetPhase(membership.Leaving)
	}
}

// about is what the readiness page says of the fleet.
func (n *Node) about() string {
	r := n.fleet.Reachability()
	return fmt.Sprintf("%v; heard=%d/%d", r.Level, r.Alive, r.Agreed)
}

// fleetCall answers calls about the fleet.
func (n *Node) fleetCall(word, rest string) (bool, []string) {
	var v any
	switch word {
	case "FLEET": // FLEET [VIEW]: the members, and what changed after a view
		after, err := strconv.ParseUint(rest, 10, 64)
		if rest != "" && err != nil {
			return false, nil
		}
		v = n.fleet.Report(after)
	case "LINKS": // who hears whom
		v = n.fleet.LinkNames()
	case "DUTIES", "GIVE", "VOTERS": // what is agreed on; GIVE DUTY NAME; VOTERS add|remove NAME
		if n.duties == nil {
			return false, nil
		}
		return n.dutyCall(word, strings.Fields(rest))
	case "CATALOGUE": // what was announced
		if n.announcer == nil {
			return false, nil
		}
		v = n.announcer.Report()
	case "STATE": // STATE [MEMBER]: what is shared
		if n.sharing == nil {
			return false, nil
		}
		v = n.sharing.Report(rest)
	case "TURN": // whether this ingress may be restarted now
		return n.fleet.RestartAllowed(), nil
	default:
		return false, nil
	}
	b, err := jsontext.Encode(v)
	if err != nil {
		return false, nil
	}
	return true, []string{string(b), "--"}
}

// dutyCall asks the leader, and tells what it says.
func (n *Node) dutyCall(word string, words []string) (bool, []string) {
	var t *leaseservice.Told
	var err error
	switch {
	case word == "DUTIES" && len(words) == 0:
		t, err = n.duties.Status()
	case word == "GIVE" && len(words) == 2:
		t, err = n.duties.Give(words[0], words[1])
	case word == "VOTERS" && len(words) == 2 && (words[0] == "add" || words[0] == "remove"):
		t, err = n.duties.Change(words[1], words[0] == "add")
	default:
		return false, nil
	}
	if err != nil {
		return false, []string{err.Error()}
	}
	b, err := jsontext.Encode(t)
	return err == nil, []string{string(b), "--"}
}

func (n *Node) fleetFigures() []string {
	r := n.fleet.Report(0)
	var shared []string
	if n.sharing != nil {
		s := n.sharing.Report("-")
		trusted := int64(0)
		if s.CounterTrusted {
			trusted = 1
		}
		shared = []string{mgmt.Gauge("ingress.share_trusted", trusted), mgmt.Gauge("ingress.share_given", int64(s.Lent)), mgmt.Gauge("ingress.share_taken", int64(s.Borrowed)),
			mgmt.Gauge("ingress.share_warned", int64(len(s.WarnedServers))), mgmt.Count("ingress.share_refused", int64(s.Rejected))}
	}
	sure := map[string]int64{membership.Partitioned.String(): 0, membership.Majority.String(): 1, membership.Complete.String(): 2}[r.Reachability]
	return append(shared, mgmt.Gauge("ingress.fleet_view", int64(r.View)), mgmt.Gauge("ingress.fleet_heard", int64(r.Alive)),
		mgmt.Gauge("ingress.fleet_agreed", int64(r.Agreed)), mgmt.Gauge("ingress.fleet_sure", sure), mgmt.Count("ingress.fleet_stalls", int64(r.Pauses)),
		mgmt.Count("ingress.fleet_refused", r.Rejected), mgmt.Count("ingress.fleet_packets_out", r.Traffic.PacketsOut),
		mgmt.Count("ingress.fleet_bytes_out", r.Traffic.BytesOut))
}

// announced has revisions of the catalogue hold once the holder of that duty has announced them. The first ones, where nothing was
// announced yet, are those of this ingress's own file.
func (n *Node) announced(ctx context.Context, first []plans.Revision) {
	kept, read := n.folder(0), false
	n.announcer, read = n.duties.Announce(ctx, leaseservice.Announcing{
		Check: func(text []byte) (uint64, string, error) {
			r, err := revisionOf(text)
			if err != nil {
				return 0, "", err
			}
			return r.Number, r.Digest(), nil
		},
		Take: func(text []byte) {
			if r, err := revisionOf(text); err == nil { // checked when it came
				n.settle(r)
			}
		},
		Living: n.fleet.AliveMembers,
		Read:   func(r *revisionlog.Record) error { return kept.Read(planRecord, kept.Process(), r) },
		Write:  func(r revisionlog.Record) error { return kept.Write(planRecord, r) },
	})
	if !read {
		n.offer(first)
	}
	n.announce(first)
}

// announce hands revisions of this ingress's file to whoever announces.
func (n *Node) announce(all []plans.Revision) {
	for _, r := range all {
		n.announcer.Offer(revisionlog.Entry{Number: r.Number, Digest: r.Digest(), Text: catalogue.Format([]plans.Revision{r})})
	}
}

func revisionOf(text []byte) (plans.Revision, error) {
	all, err := catalogue.Parse("announced", text)
	if err != nil {
		return plans.Revision{}, err
	}
	return all[0], nil
}
