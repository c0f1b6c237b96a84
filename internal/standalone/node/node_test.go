package node

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/usagesegment"
)

const member = "00000000000000aa"

// startNode starts a node with one fake quote server. Its configuration is that of hclConfig and additional text.
func startNode(t *testing.T, text string) (*Node, *fakes.QuoteServer, *logtest.Recorder) {
	t.Helper()
	quotes := &fakes.QuoteServer{Cores: 8}
	if err := quotes.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(quotes.Stop)
	c, err := config.ParseFile("test.hcl", []byte(hclConfig(quotes.Addr(), "quote-read")+text))
	if err != nil {
		t.Fatal(err)
	}
	c.Limits = config.Limits{MemoryMB: 192, Sockets: 1024}
	logger, logged := logtest.Record()
	n, err := Start(c, logger)
	if err != nil {
		t.Fatal(err)
	}
	return n, quotes, logged
}

// hclConfig returns a configuration in HCL with one quote server and one idempotent class.
func hclConfig(server, class string) string {
	return fmt.Sprintf(`
listen = "127.0.0.1:0"
server "q" {
  address = %q
}
class %q {
  aim      = "20s"
  deadline = "30s"
  repeat   = "safe"
}
`, server, class)
}

var lastRequestID int

// request sends a request of the class quote-read and returns the status.
func request(t *testing.T, n *Node, tier string) int {
	t.Helper()
	return requestClass(t, n, "quote-read", tier)
}

// requestClass sends a request of a class and returns the status.
func requestClass(t *testing.T, n *Node, class, tier string) int {
	t.Helper()
	lastRequestID++
	r, err := http.NewRequest("GET", "http://"+n.Addr()+"/api/"+member, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	for name, value := range map[string]string{
		"X-Request-ID":     fmt.Sprint("r", lastRequestID),
		"X-Priority-Class": class,
		"X-Tier":           tier,
		"X-Timeout":        "30",
		"X-Call-Terms":     "units=1,spread=1,first=0",
	} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// requests sends several requests, one after another, and returns their statuses.
func requests(t *testing.T, n *Node, tier string, times int) (statuses []int) {
	t.Helper()
	for range times {
		statuses = append(statuses, request(t, n, tier))
	}
	return statuses
}

const twoPlans = `
  plan "basic" {
    rate         = 0.001
    burst        = 2
    beyond_costs = 1
  }
  plan "plus" {
    rate         = 1e9
    burst        = 1e9
    beyond_costs = 1
  }
`

// A member whose requests are rejected over quota gets a larger plan by a new catalogue revision while the ingress is
// serving. Its requests must then be served, and the usage records must name both plans.
func TestCatalogueChangesPlanInService(t *testing.T) {
	dir := t.TempDir()
	path, usageDir := filepath.Join(dir, "plans.hcl"), filepath.Join(dir, "usage")
	write := func(n int, plan string) {
		text := fmt.Sprintf("revision \"%d\" {\n%s\n  members = {\n    %s = [%q]\n  }\n}\n", n, twoPlans, plan, member)
		if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(1, "basic")
	n, _, logged := startNode(t, fmt.Sprintf("catalogue {\n  file = %q\n}\nusage {\n  dir = %q\n}\n", path, usageDir))
	got := requests(t, n, "plus", 4) // the plan of the catalogue takes precedence over the one that the client names
	logged.Await("process-started")
	write(2, "plus")
	logged.Await("plans-revised")
	got = append(got, requests(t, n, "basic", 3)...)
	if diff := cmp.Diff([]int{200, 200, 503, 503, 200, 200, 200}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	n.Stop()
	want := map[string]int64{
		"basic of 1, beyond false, unknown false": 2,
		"plus of 2, beyond false, unknown false":  3,
	}
	if diff := cmp.Diff(want, requestsByPlan(t, usageDir)); diff != "" {
		t.Errorf("billed (-want +got):\n%s", diff)
	}
}

// requestsByPlan adds up the requests in a folder of usage records, by plan, revision and whether they were over quota
// or have an unknown arrival.
func requestsByPlan(t *testing.T, dir string) map[string]int64 {
	t.Helper()
	segments, err := usagesegment.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	replayer, counts := usage.Replayer{}, map[string]int64{}
	for _, segment := range segments {
		header, data, err := usagesegment.Read(segment.Path)
		if err != nil {
			t.Fatal(err)
		}
		tally, _, err := replayer.Replay(header, data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range tally.Rows() {
			key := fmt.Sprintf("%s of %d, beyond %v, unknown %v", r.Plan, r.Revision, r.OverQuota, r.Unknown)
			counts[key] += r.Requests
		}
	}
	return counts
}

// After a reload with other plans and another static server, requests must be decided by the new plans and sent to the
// new server only. A reload with invalid plans must change nothing.
func TestReloadAppliesPlansAndServers(t *testing.T) {
	n, quotes, _ := startNode(t, twoPlans)
	defer n.Stop()
	statuses := append(requests(t, n, "basic", 3), request(t, n, "gold"))
	if diff := cmp.Diff([]int{200, 200, 503, 400}, statuses); diff != "" {
		t.Errorf("statuses before (-want +got):\n%s", diff)
	}
	other := &fakes.QuoteServer{Cores: 1}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	next := *n.config
	next.Settings.Plans = []decision.Plan{
		{Name: "basic", Rate: 1e9, Burst: 1e9, ValueWeight: 1},
		{Name: "gold", Rate: 1e9, Burst: 1e9, ValueWeight: 1},
	}
	known := *n.config.Known
	known.Targets = append(known.Targets[:0:0], known.Targets...)
	known.Targets[0].UID, known.Targets[0].Endpoint = "other", other.Addr()
	next.Known = &known
	if err := n.Reload(&next); err != nil {
		t.Fatal(err)
	}
	request(t, n, "basic") // finds the bucket still empty; from then on it fills at the new rate
	// The plan plus was removed. Clients that still name it are served with its last settings.
	statuses = append(requests(t, n, "basic", 3), request(t, n, "gold"), request(t, n, "plus"))
	if diff := cmp.Diff([]int{200, 200, 200, 200, 200}, statuses); diff != "" {
		t.Errorf("statuses after (-want +got):\n%s", diff)
	}
	if len(quotes.Served()) != 2 || len(other.Served()) < 5 {
		t.Errorf("%d requests at the removed server, %d at the added one; want 2, and 5 or more",
			len(quotes.Served()), len(other.Served()))
	}
	broken := next
	broken.Settings.Plans = []decision.Plan{{Name: "basic", Rate: 1e9}}
	if err := n.Reload(&broken); err == nil || request(t, n, "gold") != 200 {
		t.Errorf("Reload of invalid plans: error %v, want one and the plans unchanged", err)
	}
}

func TestEmbeddedCounterServesAnotherIngress(t *testing.T) {
	const fleet = "fleet {\n  ingresses = 2\n  number = %d\n}\n"
	first, _, _ := startNode(t, twoPlans+fmt.Sprintf(fleet, 0)+
		"counter {\n  embedded = \"127.0.0.1:0\"\n  wait = \"10s\"\n}\n")
	defer first.Stop()
	second, _, _ := startNode(t, twoPlans+fmt.Sprintf(fleet, 1)+
		fmt.Sprintf("counter {\n  address = %q\n}\n", first.config.Counter))
	defer second.Stop()
	if a, b := request(t, first, "plus"), request(t, second, "plus"); a != 200 || b != 200 {
		t.Errorf("statuses %d and %d, want 200 and 200", a, b)
	}
}

// Start must return an error that names the resource that cannot be opened.
func TestStartFails(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, []byte("x"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, text, want string }{
		{"no catalogue", "catalogue {\n  file = \"" + dir + "/none.hcl\"\n}\n", "catalogue: "},
		{"not a catalogue", "catalogue {\n  file = \"" + file + "\"\n}\n", file + ":1:"},
		{"no usage folder", twoPlans + "usage {\n  dir = \"" + file + "/usage\"\n}\n", "usage: "},
		{"counter address", twoPlans + "counter {\n  embedded = \"192.0.2.1:1\"\n}\n", "counter: "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := config.ParseFile("f", []byte(`
listen = "127.0.0.1:0"
server "q" {
  address = "127.0.0.1:1"
}
class "quote-read" {
  aim      = "1s"
  deadline = "3s"
  repeat   = "safe"
}
`+tc.text))
			if err != nil {
				t.Fatal(err)
			}
			if n, err := Start(c, logtest.Discard()); err == nil || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("Start() = %v, %v; want an error that begins with %q", n, err, tc.want)
			}
		})
	}
}
