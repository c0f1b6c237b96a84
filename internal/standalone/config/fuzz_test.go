package config

import (
	"errors"
	"strings"
	"testing"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/hclfile"
)

// decide runs the decision module on accepted settings with several requests of each plan, and replies to its counter
// calls and sends. It checks only that nothing panics.
func decide(c *Config) {
	g := decision.New(c.Settings, c.Seed)
	g.Handle(0, decision.Start{})
	g.Handle(0, decision.Backends{Complete: true, List: []decision.Backend{{ID: "s", Serving: true}}})
	id := uint64(0)
	for _, plan := range c.Settings.Plans {
		for i := range 6 {
			id++
			now := float64(i) * 3
			actions := g.Handle(now, decision.Request{
				ID:       id,
				Class:    c.Settings.Classes[0].Name,
				Plan:     plan.Name,
				Customer: plan.Name,
				TimeLeft: 3,
				Units:    2,
				Gateways: 1 + i%3*20,
			})
			for n := 0; n < len(actions) && n < 100; n++ {
				switch a := actions[n].(type) {
				case decision.CounterCall:
					reply := decision.CounterReply{Name: a.Name, Outcome: decision.Succeeded, Total: a.Add}
					actions = append(actions, g.Handle(now, reply)...)
				case decision.Send:
					ended := decision.AttemptEnded{
						ID: a.ID, Backend: a.Backend, Outcome: decision.Succeeded, Duration: 0.1, Answered: true,
					}
					actions = append(actions, g.Handle(now+0.1, ended)...)
				}
			}
			g.Handle(now+1, decision.Timer{Token: "tick"})
		}
	}
}

// FuzzConfig checks that a configuration in the platform's format is either rejected or usable by the decision module.
func FuzzConfig(f *testing.F) {
	for _, s := range []string{
		`{"name":"n3","listen":"h:1","discovery":"h:2","seed":"8c1f",` +
			`"limits":{"cores":1,"memory_mb":64,"sockets":384},"counter":"h:3",` +
			`"settings":{"Balancers":80,"Me":3,` +
			`"Classes":[{"Name":"c","Promise":1,"Deadline":3,"Gain":2,"Effect":"pure"}],` +
			`"Packages":[{"Name":"p","Refill":3,"Burst":15,"Pays":1,"BeyondCosts":1,` +
			`"NeverOverRate":6,"NeverOverDepth":30,"HardSlack":4}],` +
			`"FamilyInfo":{"MayCount":true,"CountWait":0.03,"MaxUnits":4}}}`,
		`{"listen":"h:1","discovery":"h:2","settings":{"Classes":[{"Name":""}],` +
			`"Packages":[{"Open":2},{"Refill":-3,"Burst":-1},{"Refill":1e300}]}}`,
		`{"listen":"h:1"}`, `{`, `null`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := parse(raw, func(string) string { return "" }, variablesFirst)
		if err == nil {
			decide(c)
		}
	})
}

// FuzzHCL checks that an HCL configuration is either rejected or usable by the decision module.
func FuzzHCL(f *testing.F) {
	f.Add([]byte(`listen = "127.0.0.1:1"
server "a" {
 address = "127.0.0.1:2"
}
class "c" {
 aim = "1s"
 deadline = "3s"
 worth = 1
 repeat = "safe"
}
plan "p" {
 rate = 4
 burst = 12
 price = 1
}
`))
	f.Add([]byte("listen = "))
	f.Add([]byte("listen = 9e99999999\nname = \"a${-8e-88888888}\"\n")) // see TestHugeNumbersAreRejected
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := ParseFile("f.hcl", text); err == nil && len(c.Settings.Classes) > 0 {
			decide(c)
		}
	})
}

// A number with a huge exponent must be rejected with its line. The HCL library writes out every digit when it converts
// a number to text, so that a start or a reload would hang.
func TestHugeNumbersAreRejected(t *testing.T) {
	for _, text := range []string{"listen = 9e99999999\n", "name = \"a\"\nlisten = \"${1 + 2e-99999999}\"\n"} {
		_, err := ParseFile("f.hcl", []byte(text))
		var e *hclfile.Error
		if !errors.As(err, &e) || e.Line != strings.Count(text, "\n") || !strings.Contains(e.Text, "digits") {
			t.Errorf("%s: error %v, want one about digits in the last line", text, err)
		}
	}
}
