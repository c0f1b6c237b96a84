package faulttest

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/emulator/faultnet"
)

const head = `
name      = "x"
ingresses = 3
lasts     = "10s"
`

// What a file says is what is played.
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
			{At: time.Second, Action: "kill", Members: []string{"n2"}},
			{
				At:       2 * time.Second,
				Action:   "link",
				Duration: time.Second,
				LinkFault: LinkFault{From: []string{"n1", "n2", "counter"}, To: []string{"n3"}, Bidirectional: true, Protocol: faultnet.Both,
					Fault: faultnet.Fault{Loss: 0.5, Delay: 5 * time.Millisecond}},
			},
		},
		Expectations: []Expectation{
			{Kind: "state", Members: []string{"n2"}, Value: "dead", After: time.Second, Within: 5 * time.Second},
			{Kind: "answered", Within: 10 * time.Second},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v\n%s", err, diff)
	}
}

// A bad file is refused with the place before anything starts.
func TestBadFiles(t *testing.T) {
	const ok = "\nexpect \"agree\" {}\n"
	for _, row := range []struct{ text, want string }{
		{head, "x.hcl:1:1: expect: nothing is expected"},
		{head + `at "1s" { kill = ["n4"] }` + ok, `no member is "n4"`},
		{head + `at "11s" { kill = ["n1"] }` + ok, "x.hcl:5:1: at.11s: 11s is past the end, 10s"},
		{head + `at "soon" { kill = ["n1"] }` + ok, "not a span of time"},
		{head + `at "1s" { }` + ok, "one thing is done in each at"},
		{head + `at "1s" { kil = ["n1"] }` + ok, "Unsupported argument"},
		{head + "at \"1s\" {\n kill = [\"n1\"]\n stop = [\"n2\"]\n}" + ok, "one thing is done in each at"},
		{head + "at \"1s\" {\n kill = [\"n1\"]\n for = \"1s\"\n}" + ok, "what is undone"},
		{head + "at \"1s\" {\n link {\n loss = 1.5\n }\n}" + ok, "loss must be from 0 to 1"},
		{head + "at \"1s\" {\n link {\n }\n}" + ok, "no fault is named"},
		{head + "at \"1s\" {\n link {\n cut = true\n protocol = \"x\"\n }\n}" + ok, "neither"},
		{head + `at "1s" { keys = "add" }` + ok, "of a sealed fleet"},
		{head + `at "1s" { disk = ["n1"] }` + ok, "of a disk, it is one of"},
		{head + `at "1s" { revise = ["n1"] }` + ok, "there is no catalogue"},
		{head + "catalogue = true" + ok, "what is announced needs voters"},
		{head + "clocks = { n9 = 1 }" + ok, "seconds of a member's clock in one"},
		{head + `expect "luck" {}`, `nothing is called "luck"`},
		{head + `expect "state" { is = "well" }`, "expect.state.is: must be one of"},
		{head + "expect \"agree\" {\n after = \"9s\"\n within = \"2s\"\n}", "it ends past the end"},
		{strings.Replace(head, "3", "1000", 1) + ok, "x.hcl:3:1: ingresses: must be from 1 to 120"},
		{strings.Replace(head, "10s", "0s", 1) + ok, "lasts: must be more than 0"},
	} {
		_, err := Parse("x.hcl", []byte(row.text))
		if err == nil || !strings.Contains(err.Error(), row.want) || !strings.HasPrefix(err.Error(), "x.hcl:") {
			t.Errorf("%s\n%v, want %s", row.text, err, row.want)
		}
	}
}
