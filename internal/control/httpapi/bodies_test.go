package httpapi

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/control/operatorapi"
)

// The bodies that operators get have exactly the published keys, in the published order.
func TestBodyKeys(t *testing.T) {
	for _, test := range []struct {
		name string
		body any
		want string
	}{
		{
			"view",
			View{Sources: []PeerView{{}}},
			`{"node":"","control":"","incarnation":"","upSeconds":0,"ready":false,"why":"","epoch":0,"items":0,` +
				`"promised":{"Round":0,"Node":""},"pendingEpoch":0,"voters":null,"votes":false,` +
				`"sources":[{"at":"","heardSecondsAgo":0,"answeredSecondsAgo":0,"epoch":0,` +
				`"ready":false,"quorum":false}],` +
				`"members":0,"instances":null,"countersKept":0,"contact":false,"epochsBehind":0,"diskStalled":false,` +
				`"connections":0,"connectionLimit":0}`,
		},
		{
			"members",
			operatorapi.Members{
				Voters:   []operatorapi.Member{{}},
				Learners: []operatorapi.Member{{Zone: "z", Disk: "d", DiskReplaced: true, Self: true}},
			},
			`{"epoch":0,"sinceEpoch":0,"standsSeconds":0,"wanted":0,"contact":false,` +
				`"voters":[{"at":"","heardSecondsAgo":0,"behind":0,"up":false}],` +
				`"learners":[{"at":"","zone":"z","disk":"d","heardSecondsAgo":0,"behind":0,"up":false,` +
				`"otherDisk":true,"thisControl":true}]}`,
		},
		{"replacement", operatorapi.Replacement{Out: "a", In: "b"}, `{"out":"a","in":"b"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := json.Marshal(test.body)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != test.want {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
		})
	}
}

func TestParseInstance(t *testing.T) {
	const valid = `{"address":"10.0.0.1:80","summary":{"backend":"s","generation":"v1","zone":"z","capacity":2},` +
		`"observed":{"phase":"serving","callSeq":7,"coldLeftMs":1500}}`
	clock := replication.NewClock(func() float64 { return 100 })
	want := registry.Instance{
		ID:         "i-1",
		Service:    "s",
		Address:    "10.0.0.1:80",
		Zone:       "z",
		Generation: "v1",
		Capacity:   2,
		Seq:        7,
	}
	got, err := parseInstance("i-1", []byte(valid), clock)
	if err != nil {
		t.Fatal(err)
	}
	if left := got.SlowStartUntil - clock.Now(); math.Abs(left-1.5) > 1e-6 {
		t.Errorf("got %v s of slow start, want 1.5", left)
	}
	if got.SlowStartUntil = 0; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, test := range []struct{ name, id, body, want string }{
		{"empty id", "", valid, "no proper id"},
		{"long id", strings.Repeat("i", maxIDLength+1), valid, "no proper id"},
		{"no JSON", "i-1", "{", "the body cannot be read"},
		{
			"unknown phase", "i-1", strings.Replace(valid, "serving", "asleep", 1),
			"phase: neither serving nor draining",
		},
		{
			"no address", "i-1", strings.Replace(valid, "10.0.0.1:80", "", 1),
			"address: not an IP address with a port",
		},
		{"no service", "i-1", strings.Replace(valid, `"backend":"s"`, `"backend":""`, 1), "backend: missing"},
		{"capacity", "i-1", strings.Replace(valid, `"capacity":2`, `"capacity":-1`, 1), "capacity: out of bounds"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := parseInstance(test.id, []byte(test.body), clock)
			if err == nil || err.Error() != test.want || statusOf(err) != 400 {
				t.Errorf("got error %v, want %s with status 400", err, test.want)
			}
		})
	}
}
