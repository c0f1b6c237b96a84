package fakes

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/discovery"
)

func startDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d := &Discovery{}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// readLists reads the first count lists from the response to a call.
func readLists(t *testing.T, d *Discovery, query string, count int) (lists []discovery.List) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + d.Addr() + "/v1/endpoints" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for len(lists) < count && lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue // an empty keep-alive line
		}
		var list discovery.List
		if err := json.Unmarshal(lines.Bytes(), &list); err != nil {
			t.Fatal(err)
		}
		lists = append(lists, list)
	}
	return lists
}

func TestDiscovery(t *testing.T) {
	d := startDiscovery(t)
	first := discovery.Target{UID: "a", Endpoint: "h:1", State: "active"}
	second := discovery.Target{UID: "b", Endpoint: "h:2", State: "active"}
	removed := discovery.Target{UID: "a", State: "left"}
	for _, target := range []discovery.Target{first, second, removed} {
		d.Update(target)
	}
	changes := []discovery.List{
		{Rev: 1, Targets: []discovery.Target{first}},
		{Rev: 2, Targets: []discovery.Target{second}},
		{Rev: 3, Targets: []discovery.Target{removed}},
	}
	snapshot := discovery.List{Rev: 3, All: true, Targets: []discovery.Target{second}}
	for _, test := range []struct {
		name  string
		query string
		want  []discovery.List
	}{
		{"snapshot", "", []discovery.List{snapshot}},
		{"watch from the beginning", "?watch=1&from=0", changes},
		{"watch from a revision", "?watch=1&from=2", changes[2:]},
		{"watch from another server's revision", "?watch=1&from=9", []discovery.List{snapshot}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := readLists(t, d, test.query, len(test.want))
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("lists (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSilentDiscovery checks that a silent watch sends the pending changes once it is no longer silent.
func TestSilentDiscovery(t *testing.T) {
	d := startDiscovery(t)
	d.SetSilent(true)
	d.Update(discovery.Target{UID: "a"})
	time.AfterFunc(20*time.Millisecond, func() {
		d.SetSilent(false)
		d.Update(discovery.Target{UID: "b"})
	})
	var got []string
	for _, list := range readLists(t, d, "?watch=1&from=0", 2) {
		got = append(got, fmt.Sprint(list.Rev, " ", list.Targets[0].UID))
	}
	if diff := cmp.Diff([]string{"1 a", "2 b"}, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
