package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	callTimeout   = time.Second // for an answer to the operator; with one more for each MB
	minBackoff = 100 * time.Millisecond
	maxBackoff  = time.Second
	patchTimeout  = 20 * time.Second // then a call is given up
	readBackTimeout   = 8 * time.Second  // for the whole configuration to be read back from one node
)

// body is the body of an item.
type body = map[string]any

// item is an item as a call carries it.
type item struct {
	section, name string
	body          body // nil: it is dropped
	number        uint64
}

func (i item) key() string {
	if i.section == "limits" {
		return "limits/"
	}
	return i.section + "/" + i.name
}

// operator holds what the operator means to be in force.
type operator struct {
	cluster *cluster

	mu     sync.Mutex
	rng    *rand.Rand
	lastVersion uint64
	sent  map[string]item // as sent last
}

func (o *operator) nextVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastVersion += 1 + o.rng.Uint64N(3)
	return o.lastVersion
}

func (o *operator) intn(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.IntN(n)
}

func version(n uint64) string { return fmt.Sprintf("%08x", n) }

// withVersion gives an item its version.
func withVersion(i item, number uint64) item {
	i.number = number
	if i.body != nil {
		i.body = maps.Clone(i.body)
		i.body["generation"] = version(number)
	}
	return i
}

// encodePatch is the body of a call.
func encodePatch(items []item) []byte {
	upsert, remove := body{}, map[string][]body{"routes": {}}
	for _, i := range items {
		switch {
		case i.body == nil:
			remove[i.section] = append(remove[i.section], body{"name": i.name, "generation": version(i.number)})
		case i.section == "limits":
			upsert["limits"] = i.body
		default:
			if upsert[i.section] == nil {
				upsert[i.section] = body{}
			}
			upsert[i.section].(body)[i.name] = i.body
		}
	}
	text, err := json.Marshal(body{"upsert": upsert, "remove": remove})
	if err != nil {
		panic(err) // we have composed it
	}
	return text
}

// recordedVersion is an item as the rules want it.
func recordedVersion(i item, valid bool, at invariants.Seconds) *invariants.Version {
	v := &invariants.Version{
		Item:    i.key(),
		Number:  i.number,
		Dropped: i.body == nil,
		Valid:   valid,
		Sent:    at,
		Acked:   invariants.Never,
	}
	if i.body == nil {
		return v
	}
	text, _ := json.Marshal(i.body)
	json.Unmarshal(text, &v.Body)
	switch i.section {
	case "routes":
		r := &invariants.Route{
			Host:   i.body["authority"].(string),
			Prefix: i.body["pathPrefix"].(string),
			Public: i.body["public"].(bool),
		}
		if s, ok := i.body["backend"].(string); ok {
			r.Services = []string{s}
		}
		if parts, ok := i.body["weighted"].([]body); ok {
			for _, p := range parts {
				r.Services = append(r.Services, p["backend"].(string))
			}
		}
		v.Route = r
	case "customers":
		v.Tenant = &invariants.Tenant{
			Name:  i.name,
			Keys:  slices.Clone(i.body["apiKeys"].([]string)),
			Rate:  i.body["ratePerS"].(float64),
			Burst: i.body["burst"].(float64),
		}
	}
	return v
}

// send brings items, at node first and, where that fails, at the others, until there is a clear answer; status 0:
// there was none.
func (o *operator) send(first int, valid bool, items ...item) (status int) {
	f := o.cluster
	var versions []*invariants.Version
	for _, i := range items {
		v := recordedVersion(i, valid, f.now())
		versions = append(versions, v)
		f.recorder.version(v)
	}
	text := encodePatch(items)
	wait := callTimeout + time.Duration(len(text))*time.Microsecond
	pause, until, odd := minBackoff, time.Now().Add(patchTimeout), 0
	for n := first; ; n++ {
		began := f.now()
		got, said := o.call(http.MethodPatch, f.core[n%len(f.core)], text, wait)
		switch {
		case got/100 == 2:
			f.recorder.update(func() {
				for _, v := range versions {
					v.Acked = f.now()
				}
			})
			f.lastAcknowledger.Store(f.core[n%len(f.core)])
			f.changeLatencies.add(f.now() - began)
			return got
		case got == 400 || got == 409 || got == 412 || got == 413 || got == 422,
			got/100 == 4 && got != 408 && got != 429 && odd == 2:
			f.recorder.update(func() {
				for _, v := range versions {
					v.Refused = true
				}
			})
			if valid {
				f.recorder.notef("a valid call got %d from %s: %.200s", got, f.core[n%len(f.core)].name, said)
			}
			return got
		case got/100 == 4:
			odd++
		}
		if time.Now().After(until) || f.traffic.Err() != nil {
			f.recorder.notef(
				"a call of %d items was never acknowledged, the %dth answer was %d: %.200s",
				len(items),
				n-first+1,
				got,
				said,
			)
			return 0
		}
		f.sleep(pause)
		pause = min(2*pause, maxBackoff)
	}
}

// call makes one call. Status 0: there was no answer, and said tells why.
func (o *operator) call(method string, m *machine, text []byte, wait time.Duration) (status int, said []byte) {
	ctx, cancel := context.WithTimeout(o.cluster.lifetime, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(o.cluster.ports.control)+"/config", bytes.NewReader(text))
	if err != nil {
		panic(err) // we have composed it
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := o.cluster.httpClient.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer answer.Body.Close()
	said, err = io.ReadAll(io.LimitReader(answer.Body, 64<<20))
	if err != nil {
		return 0, []byte(err.Error())
	}
	return answer.StatusCode, said
}

// submit sends items under versions of their own, and keeps them in mind.
func (o *operator) submit(items ...item) (status int) {
	number := o.nextVersion()
	for n := range items {
		items[n] = withVersion(items[n], number)
	}
	o.mu.Lock()
	for _, i := range items {
		o.sent[i.key()] = i
	}
	o.mu.Unlock()
	return o.send(o.intn(len(o.cluster.core)), true, items...)
}

// readBack reads the configuration from each control node, as the operator does when the day ends.
func (o *operator) readBack() {
	var all sync.WaitGroup
	for _, m := range o.cluster.core {
		all.Go(func() {
			until := time.Now().Add(readBackTimeout)
			for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
				began := o.cluster.now()
				if status, text := o.call(http.MethodGet, m, nil, 2*callTimeout); status == 200 {
					items, err := readItems(text)
					if err != nil {
						o.cluster.recorder.notef("%s: GET /config cannot be read: %v", m.name, err)
						return
					}
					o.cluster.recorder.configRead(invariants.ConfigRead{Machine: m.name, At: began, Items: items})
					return
				}
				if time.Now().After(until) {
					o.cluster.recorder.notef("%s: GET /config has no answer", m.name)
					return
				}
				o.cluster.sleep(pause)
			}
		})
	}
	all.Wait()
}

// readItems reads the answer to GET /config.
func readItems(text []byte) (map[string]any, error) {
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	items := map[string]any{}
	for section, v := range document {
		if section == "limits" {
			items["limits/"] = v
			continue
		}
		named, ok := v.(map[string]any)
		if !ok {
			return nil, fmt.Errorf("%s is no table", section)
		}
		for name, one := range named {
			items[section+"/"+name] = one
		}
	}
	return items, nil
}
