// Command corereplaced: a core machine is removed for good and replaced by an empty one at a new address. When the
// successor has had catchUpS, another core machine loses its disk. The tolerance of one machine is kept throughout. The
// operator must be able to read back the configuration that was acknowledged, and to change it (rule CONFIG).
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"standin2/lab"
)

const (
	settle         = 12 * time.Second // after the first configuration; the electorate may change from 10 s on
	successorAfter = 500 * time.Millisecond
	catchUp        = 4 * time.Second        // terms.bounds.catchUpS
	margin         = 200 * time.Millisecond // beyond it
	darkFor        = time.Second            // of the machine that loses its disk
	recovery       = 15 * time.Second       // terms.bounds.recoveryS
	readFor        = 25 * time.Second       // after that; the page asks for contactMs (3 s)
)

type run struct {
	*lab.Lab
	nodes []*lab.Process // that are in the operator's list
}

func main() {
	faulty := os.Getenv("TROUBLE") != "0"
	l := lab.New(os.Args[1], os.Args[2], lab.Options{
		Network: "127.62", Core: 3, Clauses: "base,drain,config,cost,retry,recover,tenants,quota",
	})
	for _, node := range l.CoreNodes {
		node.Start()
	}
	r := &run{Lab: l, nodes: l.CoreNodes}
	first := map[string]any{"upsert": map[string]any{
		"routes": map[string]any{"r-1": route("00000007")},
		"services": map[string]any{"s1": map[string]any{
			"healthPath": "/health", "maxConns": 130, "protocol": "h1", "tlsMode": false, "generation": "00000007",
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
			"generation": "00000007",
		},
	}}
	if !r.patch("the first configuration", first, 20*time.Second) {
		l.Fatal("the first configuration was not taken")
	}
	time.Sleep(settle)
	change := map[string]any{"upsert": map[string]any{"routes": map[string]any{"r-1": route("00000009")}}}
	if !r.patch("generation 00000009 of r-1", change, 10*time.Second) {
		l.Fatal("the change was not taken")
	}
	if faulty {
		r.loseCore()
	}
	time.Sleep(recovery)
	code := 1
	end := time.Now().Add(readFor)
	for n := 0; time.Now().Before(end) && code != 0; n++ {
		code = r.read(r.nodes[n%len(r.nodes)])
		time.Sleep(200 * time.Millisecond)
	}
	if code != 0 {
		r.Log("BROKEN: the configuration was not read back within %v after the recovery", readFor)
		change := map[string]any{"upsert": map[string]any{"routes": map[string]any{"r-1": route("0000000b")}}}
		if !r.patch("generation 0000000b of r-1", change, 10*time.Second) {
			r.Log("nor is a change taken")
		}
	}
	r.Log("exit %d", code)
	l.Close()
	os.Exit(code)
}

// loseCore replaces one core machine and then loses the disk of another.
func (r *run) loseCore() {
	removed, victim := r.CoreNodes[2], r.CoreNodes[0]
	removed.Signal(syscall.SIGKILL)
	removed.Wait(time.Second)
	r.Log("%s is removed for good", removed.Name)
	time.Sleep(successorAfter)
	successor := r.AddCore(3)
	successor.Start()
	r.nodes = []*lab.Process{r.CoreNodes[0], r.CoreNodes[1], successor}
	time.Sleep(catchUp + margin)
	r.Log("the successor has had catchUpS and %v more: nothing counts as lost", margin)
	victim.Kill()
	victim.Wipe()
	time.Sleep(darkFor)
	victim.Start()
}

func route(generation string) map[string]any {
	return map[string]any{
		"authority": "a.example", "pathPrefix": "/p1/", "routeKind": "idempotent", "deadlineMs": 1000, "targetMs": 400,
		"priority": 1, "backend": "s1", "maxTries": 2, "public": true, "generation": generation,
	}
}

// patch sends a change until it is acknowledged, to one node after the other.
func (r *run) patch(what string, body any, limit time.Duration) bool {
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		node := r.nodes[n%len(r.nodes)]
		status, text, err := lab.Call(time.Second, "PATCH", "http://"+node.Control()+"/config", body)
		r.Log("PATCH %s at %s: %d %s %v", what, node.Name, status, strings.TrimSpace(string(text)), err)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read reads the configuration at a node: 0 if it has the acknowledged change.
func (r *run) read(node *lab.Process) int {
	status, text, err := lab.Call(time.Second, "GET", "http://"+node.Control()+"/config", nil)
	r.Log("GET /config at %s: %d %.200s %v", node.Name, status, text, err)
	var got struct {
		Routes map[string]struct {
			Generation string `json:"generation"`
		} `json:"routes"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &got) != nil {
		return 1
	}
	if generation := got.Routes["r-1"].Generation; generation != "00000009" {
		r.Log("%s", fmt.Sprintf("r-1 is read back at generation %q", generation))
		return 1
	}
	return 0
}
