package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/emulator/exchange"
	"mulleinrouter/internal/standalone/config"
)

const managementAddress = "mgmt = \"127.0.0.1:0\"\n"

// callManagement makes one call at the management address and returns the answer's lines.
func callManagement(t *testing.T, n *Node, line string) []string {
	t.Helper()
	c, err := net.Dial("tcp4", n.MgmtAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second)) // only a failing test waits this long
	io.WriteString(c, line+"\n")
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
}

// The statistics of INFO must agree with the responses that the test counts itself.
func TestStatsCountResponses(t *testing.T) {
	n, _, _ := startNode(t, managementAddress+twoPlans)
	defer n.Stop()
	counted := map[int]int{}
	for _, status := range append(requests(t, n, "plus", 3), requests(t, n, "basic", 4)...) {
		counted[status]++
	}
	if counted[http.StatusOK] == 0 || counted[http.StatusServiceUnavailable] == 0 {
		t.Fatalf("responses by status: %v, want some of 200 and some of 503", counted)
	}
	var got []string
	exchange.Until(func() bool { // the last response arrives shortly before the server counts its request as ended
		got = callManagement(t, n, "INFO")
		return slices.Contains(got, "ingress.active:0|g")
	})
	want := []string{
		"ACK",
		fmt.Sprintf("ingress.responses.quote-read.ok:%d|c", counted[http.StatusOK]),
		fmt.Sprintf("ingress.responses.quote-read.shed:%d|c", counted[http.StatusServiceUnavailable]),
		"ingress.responses.quote-read.errors:0|c",
		fmt.Sprintf("ingress.responses.quote-read.tries:%d|c", counted[http.StatusOK]),
		fmt.Sprintf("ingress.tries:%d|c", counted[http.StatusOK]),
		"ingress.active:0|g",
		"ingress.pool_size:1|g",
		"ingress.pool_ejected:0|g",
		"ingress.config_applied:0|c",
		"ingress.config_rejected:0|c",
		"--",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("INFO (-want +got):\n%s", d)
	}
	n.CountReload(true)
	n.CountReload(false)
	n.CountReload(false)
	got = callManagement(t, n, "INFO")
	for _, line := range []string{"ingress.config_applied:1|c", "ingress.config_rejected:2|c"} {
		if !slices.Contains(got, line) {
			t.Errorf("INFO after reloads = %q, want the line %q", got, line)
		}
	}
}

// LAMEDUCK must make /ready answer 503, and REJOIN 200 again. PING must be answered with ACK in both states.
func TestLameDuckByCall(t *testing.T) {
	n, _, _ := startNode(t, managementAddress+twoPlans)
	defer n.Stop()
	ready := func() int {
		response, err := http.Get("http://" + n.Addr() + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	var got []string
	for _, call := range []string{"PING", "LAMEDUCK", "PING", "REJOIN", "BOGUS"} {
		got = append(got, callManagement(t, n, call)[0])
		got = append(got, fmt.Sprint(ready()))
	}
	want := []string{"ACK", "200", "ACK", "503", "ACK", "503", "ACK", "200", "NAK", "200"}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers and statuses of /ready (-want +got):\n%s", d)
	}
}

// After a reload that replaces a class by another one, requests of the added class must be served, and requests of the
// removed class must be rejected as unknown.
func TestReloadAppliesClasses(t *testing.T) {
	n, quotes, _ := startNode(t, twoPlans)
	defer n.Stop()
	if got := request(t, n, "plus"); got != http.StatusOK {
		t.Fatalf("before: status %d, want 200", got)
	}
	c, err := config.ParseFile("test.hcl", []byte(hclConfig(quotes.Addr(), "quote-peek")+twoPlans))
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Reload(c); err != nil {
		t.Fatal(err)
	}
	if got := request(t, n, "plus"); got != http.StatusBadRequest {
		t.Errorf("request of the removed class: status %d, want 400", got)
	}
	if got := requestClass(t, n, "quote-peek", "plus"); got != http.StatusOK {
		t.Errorf("request of the added class: status %d, want 200", got)
	}
}
