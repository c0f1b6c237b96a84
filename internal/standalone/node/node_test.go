package node

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/usagesegment"
)

const member = "00000000000000aa"

// lines are the log's, for tests that wait for one.
type lines chan string

func (lines) Levels() []logrus.Level { return logrus.AllLevels }
func (l lines) Fire(e *logrus.Entry) error {
	if code, ok := e.Data["code"].(string); ok {
		select {
		case l <- code:
		default:
		}
	}
	return nil
}

func (l lines) until(code string) {
	for c := range l {
		if c == code {
			return
		}
	}
}

func start(t *testing.T, text string) (*Node, *fakes.Quotes, lines) {
	t.Helper()
	q := &fakes.Quotes{Cores: 8}
	if err := q.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(q.Stop)
	c, err := config.ParseFile("test.hcl", []byte(ours(q.Addr(), "quote-read")+text))
	if err != nil {
		t.Fatal(err)
	}
	c.Limits = config.Limits{MemoryMB: 192, Sockets: 1024}
	log, seen := logrus.New(), make(lines, 1000)
	log.SetOutput(io.Discard)
	log.AddHook(seen)
	n, err := Start(c, log)
	if err != nil {
		t.Fatal(err)
	}
	return n, q, seen
}

// ours is a configuration of our own form with one quote server and one class that is safe to repeat.
func ours(server, class string) string {
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

var ids int

// ask sends a request of the class quote-read and tells the status.
func ask(t *testing.T, n *Node, tier string) int {
	t.Helper()
	return askClass(t, n, "quote-read", tier)
}

// askClass sends a request of a class and tells the status.
func askClass(t *testing.T, n *Node, class, tier string) int {
	t.Helper()
	ids++
	r, err := http.NewRequest("GET", "http://"+n.Addr()+"/api/"+member, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	for name, value := range map[string]string{"X-Request-ID": fmt.Sprint("r", ids), "X-Priority-Class": class, "X-Tier": tier,
		"X-Timeout": "30", "X-Call-Terms": "units=1,spread=1,first=0"} {
		r.Header.Set(name, value)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	a.Body.Close()
	return a.StatusCode
}

func asks(t *testing.T, n *Node, tier string, times int) (all []int) {
	for range times {
		all = append(all, ask(t, n, tier))
	}
	return all
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

// A member is refused, upgraded by the catalogue while the ingress serves, and served; the bill tells both plans.
func TestUpgradeInService(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "plans.hcl")
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
	n, _, seen := start(t, fmt.Sprintf("catalogue {\n  file = %q\n}\nusage {\n  dir = %q\n}\n", path, dir+"/usage"))
	got := asks(t, n, "plus", 4) // the catalogue wins over what the client says
	seen.until("process-started")
	write(2, "plus")
	seen.until("plans-revised")
	got = append(got, asks(t, n, "basic", 3)...)
	if diff := cmp.Diff([]int{200, 200, 503, 503, 200, 200, 200}, got); diff != "" {
		t.Error(diff)
	}
	n.Stop()
	list, err := usagesegment.List(dir + "/usage")
	if err != nil {
		t.Fatal(err)
	}
	ledger, byPlan := usage.Ledger{}, map[string]int64{}
	for _, s := range list {
		h, data, err := usagesegment.Read(s.Path)
		if err != nil {
			t.Fatal(err)
		}
		tally, _, err := ledger.Segment(h, data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range tally.Rows() {
			byPlan[fmt.Sprintf("%s of %d, beyond %v, unknown %v", r.Plan, r.Revision, r.Beyond, r.Unknown)] += r.Tries
		}
	}
	want := map[string]int64{"basic of 1, beyond false, unknown false": 2, "plus of 2, beyond false, unknown false": 3}
	if diff := cmp.Diff(want, byPlan); diff != "" {
		t.Errorf("billed (-want +got):\n%s", diff)
	}
}

func TestReloadTakesPlansAndServers(t *testing.T) {
	n, q, _ := start(t, twoPlans)
	defer n.Stop()
	if diff := cmp.Diff([]int{200, 200, 503, 400}, append(asks(t, n, "basic", 3), ask(t, n, "gold"))); diff != "" {
		t.Error(diff)
	}
	other := &fakes.Quotes{Cores: 1}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	next := *n.config
	next.Settings.Plans = []decision.Plan{{Name: "basic", Rate: 1e9, Burst: 1e9, ValueWeight: 1}, {Name: "gold", Rate: 1e9, Burst: 1e9, ValueWeight: 1}}
	known := *n.config.Known
	known.Targets = append(known.Targets[:0:0], known.Targets...)
	known.Targets[0].UID, known.Targets[0].Endpoint = "other", other.Addr()
	next.Known = &known
	if err := n.Reload(&next); err != nil {
		t.Fatal(err)
	}
	ask(t, n, "basic") // finds the store as it was: empty; from then on it fills at the new rate
	// Plus was taken away: those who still name it are served by its last figures.
	got := append(asks(t, n, "basic", 3), ask(t, n, "gold"), ask(t, n, "plus"))
	if diff := cmp.Diff([]int{200, 200, 200, 200, 200}, got); diff != "" {
		t.Error(diff)
	}
	if len(q.Served()) != 2 || len(other.Served()) < 5 {
		t.Errorf("%d at the server that left, %d at the one that came", len(q.Served()), len(other.Served()))
	}
	broken := next
	broken.Settings.Plans = []decision.Plan{{Name: "basic", Rate: 1e9}}
	if err := n.Reload(&broken); err == nil || ask(t, n, "gold") != 200 {
		t.Errorf("plans that are none: %v", err)
	}
}

func TestEmbeddedCounterServesItsNeighbour(t *testing.T) {
	one, _, _ := start(t, twoPlans+"fleet {\n  ingresses = 2\n  number = 0\n}\ncounter {\n  embedded = \"127.0.0.1:0\"\n  wait = \"10s\"\n}\n")
	defer one.Stop()
	two, _, _ := start(t, twoPlans+fmt.Sprintf("fleet {\n  ingresses = 2\n  number = 1\n}\ncounter {\n  address = %q\n}\n", one.config.Counter))
	defer two.Stop()
	if a, b := ask(t, one, "plus"), ask(t, two, "plus"); a != 200 || b != 200 {
		t.Errorf("%d and %d", a, b)
	}
}

// What cannot be had at the start is an error, and nothing stays behind.
func TestStartFails(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(dir+"/file", []byte("x"), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct{ text, want string }{
		"no catalogue":           {"catalogue {\n  file = \"" + dir + "/none.hcl\"\n}\n", "catalogue: "},
		"a catalogue that is no": {"catalogue {\n  file = \"" + dir + "/file\"\n}\n", dir + "/file:1:"},
		"no folder for use":      {twoPlans + "usage {\n  dir = \"" + dir + "/file/usage\"\n}\n", "usage: "},
		"counter's address":      {twoPlans + "counter {\n  embedded = \"192.0.2.1:1\"\n}\n", "counter: "},
	} {
		t.Run(name, func(t *testing.T) {
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
			log := logrus.New()
			log.SetOutput(io.Discard)
			if n, err := Start(c, log); err == nil || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("%v %v", n, err)
			}
		})
	}
}
