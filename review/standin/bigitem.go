package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// The case "bigitem": the operator adds keys to a large tenant, one with each version, until a version is refused as
// too long. Then a key of another tenant is taken away.
const (
	bigKeyBytes = 120     // of the keys that the large tenant has from the start
	newKeyBytes = 40      // of the keys that are added
	bigBytes    = 1 << 20 // the system refuses items that are longer
	bigVersions = 30      // versions that add a key, at most
	revokedKey  = "wsjnbanfqasnmgkcuyj8"
)

func bigTenant(keys []string, version int) map[string]any {
	return map[string]any{"apiKeys": keys, "priority": 0, "ratePerS": 0, "burst": 0, "generation": fmt.Sprintf("%08x", version)}
}

func smallTenant(version int, keys ...string) map[string]any {
	return map[string]any{"apiKeys": keys, "priority": 0, "ratePerS": 0, "burst": 0, "generation": fmt.Sprintf("%08x", version)}
}

func upsertTenant(name string, item map[string]any) any {
	return map[string]any{"upsert": map[string]any{"customers": map[string]any{name: item}}}
}

// patchOnce sends a change to the control nodes in turn until one answers it, and returns the answer's status.
func (cl *cluster) patchOnce(change any) (status int, text string) {
	for n := range 30 {
		c := cl.core[n%len(cl.core)]
		status, body, err := call(5*time.Second, "PATCH", c.addr(cl, portControl), "/config", change)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, string(body)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, "no clear answer"
}

func bigItemCase(root string, r *record, fault bool) (int, error) {
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
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.1:0", 60+n))
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
	if status, text := cl.patchOnce(upsertTenant("yefi830", smallTenant(2, tenantKey, revokedKey))); status != 200 {
		return failed, fmt.Errorf("the small tenant: %d %s", status, text)
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	r.add("the edge machines are ready; fault: %v", fault)
	front := func(n int) string { return cl.edge[n%len(cl.edge)].addr(cl, portFront) }

	// The large tenant, some keys below the size at which the system refuses it.
	var keys []string
	size := func() int { text, _ := json.Marshal(bigTenant(keys, 1)); return len(text) }
	key := func(length int) string { return fmt.Sprintf("%s%06d", strings.Repeat("k", length-6), len(keys)) }
	for n := (bigBytes - 700) / (bigKeyBytes + 3); n > 0; n-- {
		keys = append(keys, key(bigKeyBytes))
	}
	version := 1
	status, text := cl.patchOnce(upsertTenant("vori112", bigTenant(keys, version)))
	r.add("operator sets the large tenant with %d keys, %d bytes: %d %s", len(keys), size(), status, text)
	if status != 200 {
		return failed, fmt.Errorf("the large tenant: %d %s", status, text)
	}
	time.Sleep(3 * time.Second)
	for n := range cl.edge {
		for _, k := range []string{tenantKey, revokedKey, keys[0]} {
			if _, status := runs.ask(r, front(n), k); status != 200 {
				return failed, fmt.Errorf("key %.20s gets %d before the change", k, status)
			}
		}
	}
	for n := 0; n < bigVersions && fault; n++ {
		keys = append(keys, key(newKeyBytes))
		version++
		status, text := cl.patchOnce(upsertTenant("vori112", bigTenant(keys, version)))
		r.add("operator adds a key to the large tenant, %d keys, %d bytes: %d %s", len(keys), size(), status, text)
		if status != 200 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	status, text = cl.patchOnce(upsertTenant("yefi830", smallTenant(3, tenantKey)))
	r.add("operator takes away key %s: %d %s", revokedKey, status, text)
	if status != 200 {
		return failed, fmt.Errorf("taking away a key: %d %s", status, text)
	}
	time.Sleep(4 * time.Second) // longer than configApplyMs
	revoked, kept, asked := 0, 0, 0
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
		for n := range cl.edge {
			asked++
			if id, _ := runs.ask(r, front(n), revokedKey); runs.has(id) {
				revoked++
			}
			if id, _ := runs.ask(r, front(n), tenantKey); runs.has(id) {
				kept++
			}
		}
	}
	summary := fmt.Sprintf("from 4 to 16 s after the acknowledgement, of %d requests each: run with the key that was "+
		"taken away %d, run with the key that the tenant keeps %d", asked, revoked, kept)
	r.add("%s", summary)
	fmt.Println(summary)
	cl.restartEdge(r)
	if revoked > 0 {
		return broken, nil
	}
	return passed, nil
}

// restartEdge kills the processes of an edge machine, starts them again and records whether the machine becomes ready.
// The check of the case does not depend on it.
func (cl *cluster) restartEdge(r *record) {
	m := cl.edge[0]
	for _, p := range m.procs {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	for _, p := range m.procs {
		if err := cl.startProcess(p); err != nil {
			r.add("%s does not start: %v", p.program, err)
			return
		}
	}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		if status, _, err := call(time.Second, "GET", m.addr(cl, portReady), "/readiness", nil); err == nil && status == 200 {
			r.add("%s is ready %.1f s after its processes were killed and started again", m.name, time.Since(began).Seconds())
			return
		}
	}
	r.add("%s is not ready 15 s after its processes were killed and started again", m.name)
}
