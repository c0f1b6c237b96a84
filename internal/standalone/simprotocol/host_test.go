package simprotocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const start = `{"Ts":1,"frame":1,"groups":[{"I":%d,"events":[["CONFIGURE",5,{"Balancers":1,"NewKey":[1],` +
	`"Classes":[{"Name":"read","Promise":1,"Deadline":3,"Gain":1,"Effect":"pure"}],` +
	`"Packages":[{"Name":"p","Refill":5,"Burst":5,"Pays":1}],"Permissions":{"SendCap":2}}],` +
	`["CENSUS",0,[["b1","z","k",0,"SERVING",1,null],["b2","z","k",0,"DRAINING",1,null]]],` +
	`["DISCOVERY","restored",1,0]]}]}`

func serve(t *testing.T, lines ...string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := NewHost().Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// Each batch must be answered by the actions of its events. Messages with unknown names, and a batch without events,
// are answered without an action.
func TestHandWrittenBatches(t *testing.T) {
	got := serve(t, fmt.Sprintf(start, 3),
		`{"Ts":2,"frame":2,"groups":[{"I":3,"events":[`+
			`["SUBMIT",3903435346448836,"read","p","91f03b7c55d20a64",2,1,1,0,0],["NEWS",1]]}]}`,
		`{"Ts":2.1,"frame":3,"groups":[{"I":3,"events":[`+
			`["COMPLETED",3903435346448836,0,"done",0.1,0,"b1",true,0,null],`+
			`["SUM","done","old/1",5,0.1],["STATUS_BACK","done",0.1,"b1",{"queue":1}],["CLIENT_GONE",7]]}]}`,
		`{"Ts":2.2,"frame":4,"groups":[]}`)
	want := []string{
		``, // checked below, because the time of the first timer is random
		`{"frame":2,"groups":[{"I":3,"out":[["TRANSMIT",3903435346448836,"b1",1.05]]}]}`,
		`{"frame":3,"groups":[]}`,
		`{"frame":4,"groups":[]}`,
	}
	if !strings.HasPrefix(got[0], `{"frame":1,"groups":[{"I":3,"out":[["SLEEP",1.`) {
		t.Errorf("batch 1: got %s", got[0])
	}
	for i := range want {
		if i > 0 && got[i] != want[i] {
			t.Errorf("batch %d\n got %s\nwant %s", i+1, got[i], want[i])
		}
	}
}

// The gateways of a process stand for separate ingresses, so the reply for one must not depend on events of another.
func TestInstancesShareNothing(t *testing.T) {
	request := `{"Ts":2,"frame":2,"groups":[{"I":%d,"events":[["SUBMIT",1,"read","p","k",2,1,1,0,0]]}]}`
	alone := serve(t, fmt.Sprintf(start, 1), fmt.Sprintf(request, 1))
	both := serve(t, fmt.Sprintf(start, 1), fmt.Sprintf(start, 2), fmt.Sprintf(request, 2), fmt.Sprintf(request, 1))
	if alone[1] != both[3] {
		t.Errorf("reply without another instance: %s, with one: %s", alone[1], both[3])
	}
}

// Events for an instance after its STOP must cause no actions.
func TestStoppedInstanceIsSilent(t *testing.T) {
	got := serve(t, fmt.Sprintf(start, 1),
		`{"Ts":2,"frame":2,"groups":[{"I":1,"events":[`+
			`["STOP"],["FIRED","tick"],["SUBMIT",1,"read","p","k",2,1,1,0,0]]}]}`)
	if got[1] != `{"frame":2,"groups":[]}` {
		t.Errorf("got %s, want no actions", got[1])
	}
}

func TestMalformedInputGivesErrorOfOneLine(t *testing.T) {
	for _, tc := range []struct{ name, line, want string }{
		{"not JSON", `hello`, "batch 1: not a batch"},
		{"an array", `[1]`, "batch 1: not a batch"},
		{"no clock", `{"frame":1}`, "batch 1: not a batch: no Ts"},
		{"event not an array", `{"Ts":1,"groups":[{"I":0,"events":[{}]}]}`,
			"batch 1: instance 0 event 0: not a message"},
		{"no name", `{"Ts":1,"groups":[{"I":0,"events":[[5]]}]}`, "message without a name"},
		{"wrong type", `{"Ts":1,"groups":[{"I":0,"events":[["SUBMIT","x"]]}]}`, "SUBMIT: value 1"},
		{"no settings", `{"Ts":1,"groups":[{"I":0,"events":[["CONFIGURE",1]]}]}`, "CONFIGURE: no settings"},
		{"bad list", `{"Ts":1,"groups":[{"I":0,"events":[["CENSUS",0,[[1]]]]}]}`, "CENSUS: row 0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			err := NewHost().Serve(strings.NewReader(tc.line+"\n"), &out)
			if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %q in one line", err, tc.want)
			}
			if out.Len() != 0 {
				t.Errorf("wrote %q, want no reply", out.String())
			}
		})
	}
}

func TestRepliesAreOneLineOfJSON(t *testing.T) {
	for _, line := range serve(t, fmt.Sprintf(start, 1)) {
		if !json.Valid([]byte(line)) {
			t.Errorf("not JSON: %s", line)
		}
	}
}
