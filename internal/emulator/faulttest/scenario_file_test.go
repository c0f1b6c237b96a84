package faulttest

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/standalone/hclfile"
)

const head = `
name      = "x"
ingresses = 3
lasts     = "10s"
`

func TestParse(t *testing.T) {
	got, err := Parse("x.hcl", []byte(head+`
at "2s" {
  for = "1s"
  link {
    from = ["n1-n2", "counter"]
    to   = ["n3"]
    both = true
    loss = 0.5
    delay = "5ms"
  }
}
at "1s" { kill = ["n2"] }
expect "state" {
  of     = ["n2"]
  is     = "dead"
  after  = "1s"
  within = "5s"
}
expect "answered" {}
`))
	want := &Scenario{
		Name:      "x",
		Ingresses: 3,
		Duration:  10 * time.Second,
		Steps: []Step{
			{At: time.Second, Action: ActionKill, Members: []string{"n2"}},
			{
				At:       2 * time.Second,
				Action:   ActionLink,
				Duration: time.Second,
				LinkFault: LinkFault{
					From:          []string{"n1", "n2", "counter"},
					To:            []string{"n3"},
					Bidirectional: true,
					Protocol:      faultnet.AllProtocols,
					Fault:         faultnet.Fault{Loss: 0.5, Delay: 5 * time.Millisecond},
				},
			},
		},
		Expectations: []Expectation{
			{
				Kind:    ExpectState,
				Members: []string{"n2"},
				Value:   "dead",
				After:   time.Second,
				Within:  5 * time.Second,
			},
			{Kind: ExpectAnswered, Within: 10 * time.Second},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("Parse: error %v; scenario (-want +got):\n%s", err, diff)
	}
}

// Parse rejects an invalid file with an error that contains its position, so that no process is started for the file.
func TestParseInvalidFiles(t *testing.T) {
	const ok = "\nexpect \"agree\" {}\n"
	for _, test := range []struct{ name, text, want string }{
		{"no expectation", head, "x.hcl:1:1: expect: at least one expect block is required"},
		{"unknown member", head + `at "1s" { kill = ["n4"] }` + ok, `no member is "n4"`},
		{
			"step after the end",
			head + `at "11s" { kill = ["n1"] }` + ok,
			"x.hcl:5:1: at.11s: 11s is past the end, 10s",
		},
		{"bad time", head + `at "soon" { kill = ["n1"] }` + ok, "not a span of time"},
		{"no action", head + `at "1s" { }` + ok, "an at block must have exactly one action"},
		{"unknown action", head + `at "1s" { kil = ["n1"] }` + ok, "Unsupported argument"},
		{
			"two actions",
			head + "at \"1s\" {\n kill = [\"n1\"]\n stop = [\"n2\"]\n}" + ok,
			"an at block must have exactly one action",
		},
		{
			"duration of a kill",
			head + "at \"1s\" {\n kill = [\"n1\"]\n for = \"1s\"\n}" + ok,
			"at.1s.for: is only allowed with stop",
		},
		{"bad loss", head + "at \"1s\" {\n link {\n loss = 1.5\n }\n}" + ok, "loss must be from 0 to 1"},
		{"link without a fault", head + "at \"1s\" {\n link {\n }\n}" + ok, "no fault is named"},
		{"bad protocol", head + "at \"1s\" {\n link {\n cut = true\n protocol = \"x\"\n }\n}" + ok, "neither"},
		{"keys without encryption", head + `at "1s" { keys = "add" }` + ok, "only allowed with sealed = true"},
		{
			"disk without a fault",
			head + `at "1s" { disk = ["n1"] }` + ok,
			"at.1s.fails: must be one of write, torn, full, sync and rename",
		},
		{"no catalogue", head + `at "1s" { revise = ["n1"] }` + ok, "there is no catalogue"},
		{"catalogue without voters", head + "catalogue = true" + ok, "catalogue: is only allowed with voters"},
		{
			"clock of an unknown member",
			head + "clocks = { n9 = 1 }" + ok,
			"clocks: must map members to the speed of their clock, from 0.5 to 2",
		},
		{"unknown expectation", head + `expect "luck" {}`, `unknown kind of expectation "luck"`},
		{"bad value", head + `expect "state" { is = "well" }`, "expect.state.is: must be one of"},
		{
			"expectation after the end",
			head + "expect \"agree\" {\n after = \"9s\"\n within = \"2s\"\n}",
			"must end after it begins, and within the scenario's 10s",
		},
		{
			"too many ingresses",
			strings.Replace(head, "3", "1000", 1) + ok,
			"x.hcl:3:1: ingresses: must be from 1 to 120",
		},
		{"no duration", strings.Replace(head, "10s", "0s", 1) + ok, "lasts: must be more than 0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("x.hcl", []byte(test.text))
			var fileError *hclfile.Error
			if !errors.As(err, &fileError) {
				t.Fatalf("Parse(%s) = %v, want a *hclfile.Error", test.text, err)
			}
			if !strings.HasPrefix(err.Error(), "x.hcl:") || !strings.Contains(err.Error(), test.want) {
				t.Errorf("Parse(%s) = %v, want x.hcl: and %q", test.text, err, test.want)
			}
		})
	}
}

func TestShippedUnknown(t *testing.T) {
	_, err := Shipped("absent")
	var unknown *UnknownScenarioError
	if !errors.As(err, &unknown) || unknown.Name != "absent" {
		t.Errorf("Shipped(absent) = %v, want an *UnknownScenarioError", err)
	}
}
