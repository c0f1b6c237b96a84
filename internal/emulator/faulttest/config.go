package faulttest

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/template"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/catalogue"
	"mulleinrouter/internal/standalone/plans"
)

const (
	defaultInterval = "300ms" // interval of health checks between members
	maxSeeds        = 3       // number of members whose addresses each member joins the fleet with
	twinHost        = 200     // last number of the address of the first member's twin; above those of all members

	firstRevision = 1    // number of the first catalogue revision
	basicRate     = 1000 // units per second, for the first member; each further member has 1 more (writeRevision)
	basicBurst    = 1000 // units
)

// memberConfig is the content of a member's configuration file.
type memberConfig struct {
	Name          string
	ClientAddr    string
	Dir           string // folder of the member's state
	DiscoveryAddr string
	CounterAddr   string
	Ingresses     int
	Number        int    // number of the member, from 0
	Fleet         string // environment.addressPrefix, so that fleets of other fault tests have other names
	GossipAddr    string
	RelayAddr     string // address of the relay in front of GossipAddr, to which other members connect
	Seeds         string // addresses, quoted and separated by commas
	Interval      string
	KeyFile       string // empty: gossip is not encrypted
	Voters        string // names, quoted and separated by commas; empty: there are none
	ShareQuotas   bool
	UsageDir      string // empty: usage is not recorded
	BillingURL    string
	PlansFile     string // empty: the plans are in the configuration
	HasCustomers  bool
	Quota         float64
}

// configTemplate has an empty line for each setting that is absent.
var configTemplate = template.Must(template.New("config").Parse(`
name      = {{printf "%q" .Name}}
listen    = {{printf "%q" .ClientAddr}}
mgmt      = "127.0.0.1:0"
state     = {{printf "%q" .Dir}}
discovery = {{printf "%q" .DiscoveryAddr}}

fleet {
  ingresses = {{.Ingresses}}
  number    = {{.Number}}
  zone      = "a"
  membership {
    fleet     = "rehearsal {{.Fleet}}"
    listen    = {{printf "%q" .GossipAddr}}
    advertise = {{printf "%q" .RelayAddr}}
    join      = [{{.Seeds}}]
    interval  = {{printf "%q" .Interval}}
    {{if .KeyFile}}key_file = {{printf "%q" .KeyFile}}{{end}}
    {{if .Voters}}voters = [{{.Voters}}]{{end}}
    {{if .ShareQuotas}}share = true{{end}}
  }
}

{{if .UsageDir}}usage {
  dir = {{printf "%q" .UsageDir}}
  rotate = "1s"
  endpoint = {{printf "%q" .BillingURL}}
}
{{end}}

{{if .PlansFile}}catalogue {
  file     = {{printf "%q" .PlansFile}}
  announce = true
}
{{else}}plan "basic" {
  rate  = 1000
  burst = 1000
  price = 1
}
{{if .HasCustomers}}plan "customer" {
  rate         = {{printf "%g" .Quota}}
  burst        = {{printf "%g" .Quota}}
  price        = 1
  beyond_costs = 1
}
{{end}}{{end}}

counter {
  address = {{printf "%q" .CounterAddr}}
}

class "quote-read" {
  aim      = "500ms"
  deadline = "2s"
  repeat   = "safe"
}
`))

// writeConfig writes the configuration file of a member's process, or of its twin, and returns its path. Each process
// has its own management address, because it chooses a free port.
func (e *environment) writeConfig(n *node, number int, twin bool) (path string, err error) {
	config := e.memberConfig(n, number)
	path = n.dir + ".hcl"
	if twin {
		path = n.dir + ".twin.hcl"
		if err := e.addTwin(n, number, &config); err != nil {
			return "", err
		}
	}
	if e.scenario.Voters > 0 {
		if err := os.MkdirAll(n.usageDir(), 0o755); err != nil {
			return "", wrapSetup(err)
		}
	}
	var text strings.Builder
	if err := configTemplate.Execute(&text, config); err != nil {
		return "", wrapSetup(err)
	}
	return path, wrapSetup(os.WriteFile(path, []byte(text.String()), 0o644))
}

// memberConfig returns the configuration of a member's processes other than its twin.
func (e *environment) memberConfig(n *node, number int) memberConfig {
	config := memberConfig{
		Name:          n.name,
		ClientAddr:    n.clientAddr,
		Dir:           n.dir,
		DiscoveryAddr: n.discoveryAddr,
		CounterAddr:   n.counterRelay.Addr(),
		Ingresses:     len(e.nodes),
		Number:        number,
		Fleet:         e.addressPrefix,
		GossipAddr:    n.gossipAddr,
		RelayAddr:     n.relay.Addr(),
		Seeds:         quoteList(e.seeds()),
		Interval:      cmp.Or(e.scenario.Interval, defaultInterval),
		ShareQuotas:   e.scenario.ShareQuotas,
		HasCustomers:  e.scenario.Customers > 0,
		Quota:         e.scenario.Quota,
	}
	if e.scenario.Encrypted {
		config.KeyFile = e.gossipKeyFile()
	}
	if e.scenario.Voters > 0 {
		config.Voters = quoteList(e.scenario.Names()[:e.scenario.Voters])
		config.UsageDir = n.usageDir()
		config.BillingURL = "http://" + n.billingAddr + "/v1/batches"
	}
	if e.scenario.Catalogue {
		config.PlansFile = n.plansFile()
	}
	return config
}

// seeds returns the addresses that members join the fleet with.
func (e *environment) seeds() (addrs []string) {
	for _, n := range e.nodes[:min(maxSeeds, len(e.nodes))] {
		addrs = append(addrs, n.relay.Addr())
	}
	return addrs
}

// quoteList formats strings as the content of a list in a configuration file.
func quoteList(words []string) string {
	quoted := make([]string, len(words))
	for i, word := range words {
		quoted[i] = fmt.Sprintf("%q", word)
	}
	return strings.Join(quoted, ", ")
}

// addTwin changes a member's configuration to that of its twin: another machine with the same name, which has its own
// addresses and an empty folder.
func (e *environment) addTwin(n *node, number int, config *memberConfig) (err error) {
	config.Dir = n.dir + ".twin"
	if err := os.MkdirAll(config.Dir, 0o755); err != nil {
		return wrapSetup(err)
	}
	ip := fmt.Sprintf("%s.%d", e.addressPrefix, twinHost+number)
	e.setMember(ip, n.name)
	if config.ClientAddr, config.GossipAddr, err = freeAddrs(ip); err != nil {
		return err
	}
	relay, err := e.addGossipRelay(n.name, config.GossipAddr)
	if err != nil {
		return err
	}
	config.RelayAddr = relay.Addr()
	return nil
}

// writeRevision writes a catalogue revision into a member's file. The content differs between members, also under the
// same number, so that members with the same content must have received it from the member that announced it.
func (e *environment) writeRevision(n *node, number uint64) error {
	basic := decision.Plan{
		Name:        "basic",
		Rate:        basicRate + float64(slices.Index(e.nodes, n)),
		Burst:       basicBurst,
		ValueWeight: 1,
	}
	revision := plans.Revision{
		Number:    number,
		Authority: plans.AuthorityHeader,
		Plans:     []decision.Plan{basic},
	}
	if number > firstRevision {
		revision.EffectiveAt = float64(time.Now().Add(time.Second).UnixMilli()) / 1000
	}
	return catalogue.Save(n.plansFile(), []plans.Revision{revision})
}
