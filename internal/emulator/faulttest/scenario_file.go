// Package faulttest plays timelines of faults on real processes: it starts ingresses of the built program on
// loopback, each with an address of its own, carries what they say to each other and to their stand-ins over links
// that it controls by direction and by pair, stops, kills, fills disks and restores folders as a file says, and
// checks what the file expects.
package faulttest

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinrouter/deploy/faulttests"
	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/standalone/hclfile"
	"mulleinrouter/internal/standalone/vfs"
)

// Scenario is a rehearsal as its file has it.
type Scenario struct {
	Name      string
	Seed      uint64
	Ingresses int
	Interval  string // of probes, as the ingresses' own files have it
	Encrypted bool   // the fleet has a key
	// the first so many agree on duties, and use is exported by the one that holds that; 0: there are none
	Voters       int
	ClockRates   map[string]float64 // of members whose clocks run fast or slow: their seconds in one
	QuoteServers int                // quote servers, quotes, quotes2 and so on to links; 0: one
	ShareQuotas  bool               // quotas and judgements are shared
	// that ask for 1.2 times their quota, for the most part at one ingress; 0: one without a quota that matters
	Customers    int
	Quota        float64 // of each, in units a second; it may use as much at once
	Catalogue    bool    // each member has a file of plans, and the holder of that duty announces its revisions
	Idle         bool    // no clients, and members are seldom looked at: for what the fleet itself costs
	Duration     time.Duration
	Steps        []Step // by time
	Expectations []Expectation
}

// Step is something that is done at a time, counted from when all ingresses hear the whole fleet.
type Step struct {
	At       time.Duration
	Action   string
	Members  []string      // members
	Duration time.Duration // then it is undone; 0: it stays
	// folder of a start, kind of rubbish, key, how a disk fails, who dies in an upgrade, a change of voters
	Argument  string
	LinkFault LinkFault
}

// LinkFault is a fault of the links from some members to others.
type LinkFault struct {
	From, To      []string
	Bidirectional bool // and back
	Protocol      faultnet.Proto
	Fault         faultnet.Fault
}

// Expectation is a property.
type Expectation struct {
	Kind               string
	Members, Observers []string // whom it is about, and who says it; empty: all
	Value              string
	After              time.Duration
	Max                float64 // of use: of the quota, in that time
	Min                float64
	Within             time.Duration // until then it must have become so; of never and answered: the time it is about
}

type scenarioFile struct {
	Name      string             `hcl:"name"`
	Seed      uint64             `hcl:"seed,optional"`
	Ingresses int                `hcl:"ingresses"`
	Interval  string             `hcl:"interval,optional"`
	Sealed    bool               `hcl:"sealed,optional"`
	Idle      bool               `hcl:"quiet,optional"`
	Voters    int                `hcl:"voters,optional"`
	Clocks    map[string]float64 `hcl:"clocks,optional"`
	Servers   int                `hcl:"servers,optional"`
	Share     bool               `hcl:"share,optional"`
	Customers int                `hcl:"customers,optional"`
	Quota     float64            `hcl:"quota,optional"`
	Catalogue bool               `hcl:"catalogue,optional"`
	Lasts     string             `hcl:"lasts"`
	Steps     []stepBlock        `hcl:"at,block"`
	Expect    []expectBlock      `hcl:"expect,block"`
}

type stepBlock struct {
	At       string     `hcl:"at,label"`
	Stop     []string   `hcl:"stop,optional"`
	Kill     []string   `hcl:"kill,optional"`
	Start    []string   `hcl:"start,optional"`
	Twin     []string   `hcl:"twin,optional"`
	Save     []string   `hcl:"save,optional"`
	Term     []string   `hcl:"term,optional"`
	Upgrade  []string   `hcl:"upgrade,optional"`
	LameDuck []string   `hcl:"lameduck,optional"`
	Fill     []string   `hcl:"fill,optional"`
	Disk     []string   `hcl:"disk,optional"`
	Fails    string     `hcl:"fails,optional"`
	Reload   []string   `hcl:"reload,optional"`
	Give     []string   `hcl:"give,optional"`
	Revise   []string   `hcl:"revise,optional"`
	Rubbish  []string   `hcl:"rubbish,optional"`
	Counter  string     `hcl:"counter,optional"`
	Shift    bool       `hcl:"shift,optional"`
	Server   int        `hcl:"server,optional"`
	Keys     string     `hcl:"keys,optional"`
	Folder   string     `hcl:"folder,optional"`
	Dies     string     `hcl:"dies,optional"`
	Voters   string     `hcl:"voters,optional"`
	For      string     `hcl:"for,optional"`
	Link     *linkBlock `hcl:"link,block"`
}

type linkBlock struct {
	From     []string `hcl:"from,optional"`
	To       []string `hcl:"to,optional"`
	Both     bool     `hcl:"both,optional"`
	Protocol string   `hcl:"protocol,optional"`
	Loss     float64  `hcl:"loss,optional"`
	Delay    string   `hcl:"delay,optional"`
	Jitter   string   `hcl:"jitter,optional"`
	Double   float64  `hcl:"double,optional"`
	Reorder  float64  `hcl:"reorder,optional"`
	Cut      bool     `hcl:"cut,optional"`
	Longest  int      `hcl:"longest,optional"`
}

type expectBlock struct {
	Kind   string   `hcl:"kind,label"`
	Of     []string `hcl:"of,optional"`
	By     []string `hcl:"by,optional"`
	Is     string   `hcl:"is,optional"`
	After  string   `hcl:"after,optional"`
	Within string   `hcl:"within,optional"`
	Most   float64  `hcl:"most,optional"`
	Least  float64  `hcl:"least,optional"`
}

const (
	maxIngresses = 120
	maxDuration  = time.Hour
)

// diskFaults are the ways in which a disk fails, below the stores of a process.
var diskFaults = map[string]map[vfs.Op]vfs.Fault{
	"write":  {vfs.Write: {Err: "EIO"}},
	"torn":   {vfs.Write: {Err: "EIO", Torn: true}},
	"full":   {vfs.Write: {Err: "ENOSPC", Torn: true}},
	"sync":   {vfs.Sync: {Err: "EIO"}},
	"rename": {vfs.Rename: {Err: "EIO"}},
}

// standIns are ends that are no members: what an ingress says to them goes over links, too.
var standIns = []string{
	"discovery",
	"counter",
	"billing",
	"quotes",
	"quotes2",
	"quotes3",
	"quotes4",
	"quotes5",
	"quotes6",
}

// firstQuoteServer is the place of the first quote server among them.
const firstQuoteServer = 3

// expectationValues are the properties, and which words is may have.
var expectationValues = map[string][]string{
	// by each of by, each of of is told to be so, at least once from after on
	"state":     {"alive", "dead", "left"},
	"never":     {"dead"},                        // by none of by, any of of is told to be so, from after on
	"agree":     nil,                             // all that run hold one view, with themselves in it
	"judgement": {"whole", "thinned", "cut-off"}, // each of of says so at one moment
	"not":       {"whole", "thinned", "cut-off"}, // none of of ever says so, from after on
	// every request that a running ingress took was answered, and some were served
	"answered": nil,
	// one of of that runs holds the export of use; again: under a newer token than before after
	"held":   {"again", "any"},
	"fenced": nil, // billing took batches, and their tokens only grew
	// of each customer, what arrived from after on is from least to most of its quota
	"use": nil,
	"one": nil, // each token had one holder, by the logs of all processes
	// each of of was warned of a server by others at one moment; none ever was
	"warned": {"some", "none"},
	"stale":  nil, // billing refused something as an older holder's
	// each request that arrived at a quote server is billed once, or listed apart where its ingress was killed
	"billed": nil,
	// all that run hold one content for each revision, the newest that was written among them
	"announced": nil,
	"refused":   nil, // packets that are not of the fleet were counted
}

// Read reads a timeline. Errors name file, line and column.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	return Parse(path, text)
}

// Shipped reads one of those that ship, by its name.
func Shipped(name string) (*Scenario, error) {
	text, err := faulttests.Files.ReadFile(name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("rehearsal: no timeline %q ships, and no file has this name", name)
	}
	return Parse(name+".hcl", text)
}

// Parse reads the text of one.
func Parse(name string, text []byte) (*Scenario, error) {
	var w scenarioFile
	f, err := hclfile.Parse(name, text, &w)
	if err != nil {
		return nil, err
	}
	t := &Scenario{
		Name:      w.Name,
		Seed:      w.Seed,
		Ingresses: w.Ingresses,
		Interval:  w.Interval,
		Encrypted: w.Sealed,
		Idle:      w.Idle,
		Voters:    w.Voters,
	}
	if w.Voters != 0 && w.Voters != 1 && w.Voters != 3 && w.Voters != 5 || w.Voters > w.Ingresses {
		return nil, f.ErrorAt("voters", "0, 1, 3 or 5 of the ingresses")
	}
	if w.Ingresses < 1 || w.Ingresses > maxIngresses {
		return nil, f.ErrorAt("ingresses", fmt.Sprintf("must be from 1 to %d", maxIngresses))
	}
	if t.Catalogue = w.Catalogue; t.Catalogue && t.Voters == 0 {
		return nil, f.ErrorAt("catalogue", "what is announced needs voters")
	}
	t.ShareQuotas, t.Customers, t.Quota, t.QuoteServers = w.Share, w.Customers, w.Quota, w.Servers
	if t.QuoteServers < 0 || t.QuoteServers > len(standIns)-firstQuoteServer {
		return nil, f.ErrorAt("servers", fmt.Sprintf("up to %d", len(standIns)-firstQuoteServer))
	}
	if t.Customers < 0 || t.Customers > 100 || t.Customers > 0 && !(t.Quota >= 1 && t.Quota <= 1000) {
		return nil, f.ErrorAt("customers", "up to 100, with a quota from 1 to 1000 units a second")
	}
	if _, err := f.Duration("interval", w.Interval, 0); err != nil {
		return nil, err
	}
	if t.Duration, err = f.Duration("lasts", w.Lasts, 0); err != nil {
		return nil, err
	}
	if t.Duration <= 0 || t.Duration > maxDuration {
		return nil, f.ErrorAt("lasts", fmt.Sprintf("must be more than 0 and at most %v", maxDuration))
	}
	for _, b := range w.Steps {
		if err := t.step(f, b); err != nil {
			return nil, err
		}
	}
	for name, rate := range w.Clocks {
		if !slices.Contains(t.Names(), name) || !(rate >= 0.5 && rate <= 2) {
			return nil, f.ErrorAt("clocks", "seconds of a member's clock in one, from 0.5 to 2, by its name")
		}
	}
	t.ClockRates = w.Clocks
	slices.SortStableFunc(t.Steps, func(a, b Step) int { return int(a.At - b.At) })
	if len(w.Expect) == 0 {
		return nil, f.ErrorAt("expect", "nothing is expected: a rehearsal that cannot fail shows nothing")
	}
	for _, b := range w.Expect {
		if err := t.expect(f, b); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Names are those of the members.
func (t *Scenario) Names() (all []string) {
	for i := range t.Ingresses {
		all = append(all, fmt.Sprint("n", i+1))
	}
	return all
}

// members checks names, and spells "all" and ranges such as "n1-n3" out.
func (t *Scenario) members(f *hclfile.File, path string, words []string, also ...string) (all []string, err error) {
	names := t.Names()
	for _, w := range words {
		first, last, isRange := strings.Cut(w, "-")
		i, j := slices.Index(names, first), slices.Index(names, last)
		switch {
		case w == "all":
			all = append(all, names...)
		case slices.Contains(also, w) || slices.Contains(names, w):
			all = append(all, w)
		case isRange && i >= 0 && j >= i:
			all = append(all, names[i:j+1]...)
		default:
			return nil, f.ErrorAt(path, fmt.Sprintf("no member is %q: they are n1 to n%d", w, t.Ingresses))
		}
	}
	return all, nil
}

func (t *Scenario) step(f *hclfile.File, b stepBlock) error {
	at := "at." + b.At
	if strings.Contains(b.At, ".") {
		at = "at" // the path has dots of its own
	}
	s := Step{Argument: b.Folder}
	when, err := f.Duration(at, b.At, 0)
	if err != nil {
		return err
	}
	if when > t.Duration {
		return f.ErrorAt(at, fmt.Sprintf("%v is past the end, %v", when, t.Duration))
	}
	s.At = when
	if s.Duration, err = f.Duration(at+".for", b.For, 0); err != nil {
		return err
	}
	for _, of := range []*[]string{&b.Stop, &b.Kill, &b.Disk, &b.Fill, &b.Revise, &b.Upgrade} { // whoever it is then
		if len(*of) == 1 && (*of)[0] == "holder" {
			*of = []string{}
		}
	}
	done := 0
	for _, d := range []struct {
		do string
		of []string
	}{{"stop", b.Stop}, {"kill", b.Kill}, {"start", b.Start}, {"twin", b.Twin}, {"save", b.Save}, {"term", b.Term},
		{"upgrade", b.Upgrade}, {"lameduck", b.LameDuck},
		{"fill", b.Fill}, {"reload", b.Reload}, {"rubbish", b.Rubbish}, {"give", b.Give}, {"disk", b.Disk},
		{"revise", b.Revise}} {
		if d.of == nil {
			continue
		}
		if s.Members, err = t.members(f, at+"."+d.do, d.of); err != nil {
			return err
		}
		s.Action = d.do
		done++
	}
	if b.Keys != "" {
		if !t.Encrypted || !slices.Contains([]string{"add", "turn", "drop"}, b.Keys) {
			return f.ErrorAt(at+".keys", "of a sealed fleet a key is one of add, turn and drop")
		}
		s.Action, s.Argument = "keys", b.Keys
		done++
	}
	if b.Counter != "" {
		if !slices.Contains([]string{"gone", "back", "empty", "split"}, b.Counter) {
			return f.ErrorAt(at+".counter", "one of gone, back, empty and split")
		}
		s.Action, s.Argument = "counter", b.Counter
		done++
	}
	if b.Server != 0 {
		if b.Server < 1 || b.Server > max(1, t.QuoteServers) {
			return f.ErrorAt(at+".server", "the number of one of the quote servers")
		}
		s.Action, s.Argument = "server", strconv.Itoa(b.Server)
		done++
	}
	if b.Shift {
		s.Action = "shift"
		done++
	}
	if b.Voters != "" {
		verb, name, _ := strings.Cut(b.Voters, " ")
		if t.Voters == 0 || !slices.Contains(t.Names(), name) || verb != "add" && verb != "remove" {
			return f.ErrorAt(at+".voters", "it is add or remove and the name of a member, where there are voters")
		}
		s.Action, s.Argument = "voters", b.Voters
		done++
	}
	if b.Link != nil {
		if s.LinkFault, err = t.link(f, at+".link", b.Link); err != nil {
			return err
		}
		s.Action = "link"
		done++
	}
	if done != 1 {
		return f.ErrorAt(at, "one thing is done in each at")
	}
	if _, known := diskFaults[b.Fails]; known != (s.Action == "disk") {
		return f.ErrorAt(at+".fails", "of a disk, it is one of write, torn, full, sync and rename")
	}
	if s.Action == "revise" && !t.Catalogue {
		return f.ErrorAt(at+".revise", "there is no catalogue")
	}
	if s.Action == "disk" {
		s.Argument = b.Fails
	}
	if b.Dies != "" && (s.Action != "upgrade" || b.Dies != "old" && b.Dies != "young") {
		return f.ErrorAt(at+".dies", "of an upgrade, either the old process dies or the young one")
	}
	if s.Action == "upgrade" {
		s.Argument = b.Dies
	}
	if b.Folder != "" && (s.Action != "start" || !slices.Contains([]string{"kept", "empty", "saved"}, b.Folder)) {
		return f.ErrorAt(at+".folder", "of a start, the folder is one of kept, empty and saved")
	}
	if s.Duration > 0 && !slices.Contains([]string{"stop", "link", "fill", "lameduck", "disk", "server"}, s.Action) {
		return f.ErrorAt(at+".for", "what is undone is a stop, a link, a fill, a disk, a server or a lameduck")
	}
	t.Steps = append(t.Steps, s)
	return nil
}

func (t *Scenario) link(f *hclfile.File, at string, b *linkBlock) (l LinkFault, err error) {
	l = LinkFault{
		Bidirectional: b.Both,
		Fault:         faultnet.Fault{Loss: b.Loss, Double: b.Double, Reorder: b.Reorder, Cut: b.Cut, Longest: b.Longest},
	}
	for _, e := range []struct {
		key   string
		words []string
		into  *[]string
	}{{"from", b.From, &l.From}, {"to", b.To, &l.To}} {
		if *e.into, err = t.members(f, at+"."+e.key, e.words, standIns...); err != nil {
			return l, err
		}
		if e.words == nil {
			*e.into = []string{faultnet.Any}
		}
	}
	if l.Fault.Delay, err = f.Duration(at+".delay", b.Delay, 0); err != nil {
		return l, err
	}
	if l.Fault.Jitter, err = f.Duration(at+".jitter", b.Jitter, 0); err != nil {
		return l, err
	}
	if err := l.Fault.Validate(); err != nil {
		return l, f.ErrorAt(at, err.Error())
	}
	if l.Fault == (faultnet.Fault{}) {
		return l, f.ErrorAt(at, "no fault is named")
	}
	switch b.Protocol {
	case "":
		l.Protocol = faultnet.Both
	case "datagrams":
		l.Protocol = faultnet.Datagrams
	case "streams":
		l.Protocol = faultnet.Streams
	default:
		return l, f.ErrorAt(at+".protocol", fmt.Sprintf("%q is neither \"datagrams\" nor \"streams\"", b.Protocol))
	}
	return l, nil
}

func (t *Scenario) expect(f *hclfile.File, b expectBlock) error {
	at := "expect." + b.Kind
	words, ok := expectationValues[b.Kind]
	if !ok {
		return f.ErrorAt(at, fmt.Sprintf("nothing is called %q", b.Kind))
	}
	if !slices.Contains(words, b.Is) && (words != nil || b.Is != "") {
		return f.ErrorAt(at+".is", fmt.Sprintf("must be one of %q", words))
	}
	e := Expectation{Kind: b.Kind, Value: b.Is, Max: b.Most, Min: b.Least}
	if b.Kind == "use" && (t.Customers == 0 || !(b.Most > 0 && b.Least >= 0)) {
		return f.ErrorAt(at, "use of customers' quotas needs customers, and most, a part of the quota")
	}
	var err error
	if e.Members, err = t.members(f, at+".of", b.Of); err != nil {
		return err
	}
	if e.Observers, err = t.members(f, at+".by", b.By); err != nil {
		return err
	}
	if e.After, err = f.Duration(at+".after", b.After, 0); err != nil {
		return err
	}
	if e.Within, err = f.Duration(at+".within", b.Within, t.Duration-e.After); err != nil {
		return err
	}
	if e.After+e.Within > t.Duration || e.Within <= 0 {
		return f.ErrorAt(at, fmt.Sprintf("it ends past the end, %v", t.Duration))
	}
	t.Expectations = append(t.Expectations, e)
	return nil
}
