package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The case "tenant": the operator drops the only tenant, and requests with its key and with keys that no configuration
// ever passed follow.
const (
	tenantHost     = "hulo84.example"
	tenantPath     = "/xapu221/"
	tenantKey      = "xd9dnn2ctnfzs989anu6"
	tenantRequests = 40 // with each key, at each edge machine
)

func tenantConfiguration() any {
	return map[string]any{
		"upsert": map[string]any{
			"services": map[string]any{"quotes": map[string]any{
				"healthPath": "/health", "maxConns": 130, "protocol": "h1", "tlsMode": false, "generation": "00000001",
			}},
			"routes": map[string]any{"r-quote": map[string]any{
				"authority": tenantHost, "pathPrefix": tenantPath, "routeKind": "idempotent", "deadlineMs": 1000,
				"targetMs": 400, "priority": 1, "backend": "quotes", "maxTries": 2, "public": false, "generation": "00000001",
			}},
			"customers": map[string]any{"yefi830": map[string]any{
				"apiKeys": []string{tenantKey}, "priority": 0, "ratePerS": 0, "burst": 0, "generation": "00000001",
			}},
			"limits": map[string]any{
				"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
				"generation": "00000001",
			},
		},
	}
}

// tenantRuns counts the requests that the servers ran, by the id of the request.
type tenantRuns struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (t *tenantRuns) server(id string, r *record) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("X-Attempt-Id")
		if request.URL.Path == "/health" {
			w.Header().Set("X-Instance-Id", id)
			return
		}
		w.Header().Set("X-Attempt-Id", attempt)
		if request.Header.Get("X-Target-Instance") != id {
			w.WriteHeader(421)
			return
		}
		r.add("server %s runs %s for tenant %q", id, attempt, request.Header.Get("X-Tenant"))
		t.mu.Lock()
		t.ran[attempt] = true
		t.mu.Unlock()
		w.Header().Set("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
		io.WriteString(w, "quote "+attempt)
	})
}

// ask sends a request with a key to an edge machine, and returns its id and the status of the answer.
func (t *tenantRuns) ask(r *record, addr, key string) (id string, status int) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	request, _ := http.NewRequest("GET", "http://"+addr+tenantPath+id, nil)
	request.Host = tenantHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Time-Left-Ms", "1000")
	request.Header.Set("Authorization", "Token "+key)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(request)
	if err == nil {
		status = answer.StatusCode
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	r.add("client with key %s sends %s to %s and has %d", key, id, addr, status)
	return id, status
}

func tenantCase(root string, r *record, fault bool) (int, error) {
	cl, err := newCluster(root, 3, 3, "base,drain,config,cost,retry,recover,tenants,quota")
	if err != nil {
		return failed, err
	}
	defer cl.stop()
	if err := cl.start(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	defer close(stop)
	runs := &tenantRuns{ran: map[string]bool{}}
	for n := range 3 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.1:0", 50+n))
		if err != nil {
			return failed, err
		}
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		server := &http.Server{Handler: runs.server(id, r)}
		defer server.Close()
		go server.Serve(l)
		go cl.heartbeat(id, "quotes", cl.edge[n].zone, l.Addr().String(), 3, stop)
	}
	if err := cl.operate(tenantConfiguration()); err != nil {
		return failed, err
	}
	if err := cl.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3500 * time.Millisecond) // the machines are in touch
	r.add("the edge machines are ready; fault: %v", fault)
	front := func(n int) string { return cl.edge[n%len(cl.edge)].addr(cl, portFront) }
	for n := range cl.edge {
		if _, status := runs.ask(r, front(n), tenantKey); status != 200 {
			return failed, fmt.Errorf("the tenant is not served before the change: %d", status)
		}
		if _, status := runs.ask(r, front(n), "neverheldneverheld00"); status != 401 {
			return failed, fmt.Errorf("an unknown key gets %d before the change", status)
		}
	}
	if fault {
		drop := map[string]any{"remove": map[string]any{"customers": []any{map[string]any{"name": "yefi830", "generation": "00000002"}}}}
		if err := cl.operate(drop); err != nil {
			return failed, err
		}
		r.add("the drop of the tenant is acknowledged")
	}
	time.Sleep(4 * time.Second) // longer than configApplyMs
	droppedRun, unknownRun := 0, 0
	for n := range tenantRequests * len(cl.edge) {
		if id, _ := runs.ask(r, front(n), tenantKey); runs.has(id) {
			droppedRun++
		}
		if id, _ := runs.ask(r, front(n), fmt.Sprintf("neverheld%011d", n)); runs.has(id) {
			unknownRun++
		}
	}
	summary := fmt.Sprintf("4 s after the acknowledgement, of %d requests each: run with the tenant's key %d, run with a "+
		"key that no configuration ever passed %d", tenantRequests*len(cl.edge), droppedRun, unknownRun)
	r.add("%s", summary)
	fmt.Println(summary)
	if unknownRun > 0 {
		return broken, nil
	}
	return passed, nil
}

func (t *tenantRuns) has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}
