package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// singleConfig returns the shipped configuration of a single ingress.
func singleConfig(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/single.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// An HCL file and a JSON file with the same configuration give the same Config.
func TestHCLAndJSONReadTheSame(t *testing.T) {
	fromHCL, err := ParseFile("f", []byte(`
name      = "n0"
listen    = "127.0.0.1:81"
discovery = "127.0.0.1:82"
limits {
  cores     = 1
  memory_mb = 192
  sockets   = 1024
}
fleet {
  ingresses = 3
  number    = 1
  zone      = "hall-a"
}
counter {
  address = "127.0.0.1:83"
  wait    = "30ms"
}
rules {
  drain_grace     = "250ms"
  answer_slack    = "8ms"
  cold_share      = 0.21
  warm_up         = "18s"
  overload_factor = 2
  overload_for    = "3s"
  max_attempts    = 4
  max_retry_after = "1s"
  connect_timeout = "500ms"
  keepalive       = "10s"
  max_units       = 2
}
class "quote-read" {
  aim        = "500ms"
  deadline   = "3s"
  worth      = 2
  late_worth = 0.5
  repeat     = "safe"
}
class "summary-send" {
  aim      = "1s"
  deadline = "3s"
  worth    = 3
  repeat   = "never"
}
plan "plus" {
  rate          = 10
  burst         = 20
  price         = 1.6
  excess_worth  = 0.3
  beyond_costs  = 0.1
  ceiling_rate  = 20
  ceiling_depth = 40
  ceiling_slack = 4
}
plan "calls" {
  open  = 3
  price = 1
}
`))
	if err != nil {
		t.Fatal(err)
	}
	fromJSON, err := parse([]byte(`{"name":"n0","listen":"127.0.0.1:81","discovery":"127.0.0.1:82",
"counter":"127.0.0.1:83",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"settings":{"Balancers":3,"Me":1,"Zone":"hall-a",
 "Classes":[{"Name":"quote-read","Promise":0.5,"Deadline":3,"Gain":2,"LateWorth":0.5,"Effect":"pure"},
  {"Name":"summary-send","Promise":1,"Deadline":3,"Gain":3,"LateWorth":0,"Effect":"side_effect"}],
 "Packages":[{"Name":"plus","Refill":10,"Burst":20,"Pays":1.6,"ExcessWorth":0.3,"BeyondCosts":0.1,
   "NeverOverRate":20,"NeverOverDepth":40,"HardSlack":4},
  {"Name":"calls","Open":3,"Pays":1}],
 "Invariants":{"AnswerSlack":0.008,"DrainGrace":0.25,"OverloadFactor":2,"OverloadFor":3,
  "StartCapacity":0.21,"WarmUp":18},
 "Permissions":{"Cancelling":true,"ConnectTimeout":0.5,"Keepalive":10,"RetryAfter":true,"MaxRetryAfter":1,"SendCap":4},
 "FamilyInfo":{"MayCount":true,"CountWait":0.03,"MaxUnits":2}}}`), func(string) string { return "" }, variablesFirst)
	if err != nil {
		t.Fatal(err)
	}
	fromJSON.SettingsRaw = nil // an HCL file has no raw settings
	if diff := cmp.Diff(fromJSON, fromHCL); diff != "" {
		t.Errorf("(-JSON +HCL):\n%s", diff)
	}
}

func TestParseSingleConfig(t *testing.T) {
	c, err := ParseFile("/etc/single.hcl", []byte(singleConfig(t)+`
counter {
  embedded = "127.0.0.1:0"
}
catalogue {
  file = "plans.hcl"
}
usage {
  dir = "/var/usage"
}
`))
	if err != nil {
		t.Fatal(err)
	}
	if !c.Static || len(c.Known.Targets) != 2 {
		t.Errorf("static %v, servers %+v; want two static ones", c.Static, c.Known.Targets)
	}
	if c.Embedded != "127.0.0.1:0" || !c.Settings.HasCounter {
		t.Errorf("embedded counter %q, has counter %v; want one at 127.0.0.1:0", c.Embedded, c.Settings.HasCounter)
	}
	if c.Catalogue != "/etc/plans.hcl" {
		t.Errorf("catalogue %q, want it in the folder of the file", c.Catalogue)
	}
	if diff := cmp.Diff(&Usage{Dir: "/var/usage", Rotate: time.Minute, Keep: 168 * time.Hour}, c.Usage); diff != "" {
		t.Errorf("usage (-want +got):\n%s", diff)
	}
}

func TestParseFileErrors(t *testing.T) {
	good := singleConfig(t)
	line := func(text string) string { // position of the first line that begins with the text, as file:line
		for i, l := range strings.Split(good, "\n") {
			if strings.HasPrefix(strings.TrimSpace(l), text) {
				return fmt.Sprintf("f:%d", i+1)
			}
		}
		t.Fatal("no such line:", text)
		return ""
	}
	for _, tc := range []struct{ name, from, to, want string }{ // from is replaced by to; * in want matches any text
		{"unknown key", "log_format =", "log_from =",
			line("log_format") + `:1: Unsupported argument: An argument named "log_from" is not expected here.`},
		{"unknown block", "limits {", "limit {",
			line("limits") +
				`:1: Unsupported block type: Blocks of type "limit" are not expected here. Did you mean "limits"?`},
		{"listen", `"127.0.0.1:8080"`, `"8080"`, line("listen") + `:1: listen: not host:port: "8080"`},
		{"log format", `"logfmt"`, `"xml"`, line("log_format") + `:1: log_format: neither logfmt nor json: "xml"`},
		{"log level", `"info"`, `"loud"`,
			line("log_level") + `:1: log_level: neither debug, info, warn nor error: "loud"`},
		{"limits", "sockets   = 1024", "sockets   = -1", line("sockets") + `:3: limits.sockets: below zero`},
		{"attempts", "max_attempts    = 4", "max_attempts    = 5",
			line("max_attempts") + `:3: rules.max_attempts: must be from 1 to 4`},
		{"span", `keepalive       = "30s"`, `keepalive       = "30"`,
			line("keepalive") + `:3: rules.keepalive: not a span of time such as "250ms" or "1m30s": "30"`},
		{"server", `"127.0.0.1:9001"`, `"nowhere"`,
			line(`address = "127.0.0.1:9001"`) + `:3: server.quotes-1.address: not host:port: "nowhere"`},
		{"server twice", `"quotes-2"`, `"quotes-1"`,
			line(`server "quotes-1"`) + `:1: server.quotes-1: a server needs a name of its own`},
		{"class", `repeat     = "never"`, `repeat     = "no"`,
			line(`repeat     = "never"`) +
				`:3: class.summary-send.repeat: "no" is neither "safe" (may run twice) nor "never"`},
		{"deadline", `deadline   = "2s"`, `deadline   = "2ms"`,
			line(`deadline   = "2s"`) + `:3: class.quote-read.deadline: before the aim`},
		{"ceiling", "ceiling_rate  = 40", "ceiling_rate  = 4",
			line("ceiling_rate") + `:3: plan.plus.ceiling_rate: below the plan's rate of 20`},
		{"both kinds of servers", "log_format =", "discovery = \"127.0.0.1:1\"\nlog_format =",
			`f:*: server.quotes-1: servers are listed and discovery is configured: only one of them is allowed`},
		{"counter", "rules {", "counter {\n}\nrules {",
			line("rules") + `:1: counter: needs an address, or embedded with an address to listen on, and not both`},
		{"fleet", "rules {", "fleet {\n  ingresses = 2\n  number = 2\n}\nrules {",
			`f:*: fleet.number: must be from 0 to 1`},
		{"announce", "rules {", "catalogue {\n  file = \"x\"\n  announce = true\n}\nrules {",
			`f:*: catalogue.announce: needs voters in the fleet's membership, and a state folder`},
		{"endpoint", "rules {", "usage {\n  dir = \"x\"\n  endpoint = \"billing\"\n}\nrules {",
			`f:*: usage.endpoint: not a URL: "billing"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if !strings.Contains(good, tc.from) {
				t.Fatalf("%q is not in the configuration", tc.from)
			}
			_, err := ParseFile("f", []byte(strings.Replace(good, tc.from, tc.to, 1)))
			if err == nil {
				t.Fatalf("no error, want %s", tc.want)
			}
			got := err.Error()
			matches := strings.HasPrefix(got, tc.want)
			if start, end, pattern := strings.Cut(tc.want, "*"); pattern {
				matches = strings.HasPrefix(got, start) && strings.HasSuffix(got, end)
			}
			if !matches || strings.Contains(got, "\n") {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}
