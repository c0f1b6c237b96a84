// Command watchreplies: applications watch groups of keys through one control node, which is killed and started again
// once. Each answer to a watch must be about the group that was asked for (rule ORDER of the small keys).
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"standin2/lab"
)

const (
	groups     = 24
	waitMs     = 2000
	settle     = 8 * time.Second        // from the first puts until the applications begin to watch
	killAfter  = 300 * time.Millisecond // after the applications have begun to watch
	backAfter  = 300 * time.Millisecond
	idleFor    = 1200 * time.Millisecond // after the applications have begun to watch, nobody puts
	putEvery   = 20 * time.Millisecond
	watchFor   = 10 * time.Second // after the restart
	putsBefore = 1                // of group 1; each next group has one more
)

type event struct {
	Name     string `json:"name"`
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

type answer struct {
	Log      []event `json:"log"`
	Revision uint64  `json:"revision"`
}

// span is an answer to a watch.
type span struct {
	group, after uint64
	answer       answer
}

type run struct {
	*lab.Lab
	mu    sync.Mutex
	puts  map[uint64]map[uint64]event // by group and revision, as acknowledged
	spans []span
	stop  chan struct{}
}

func main() {
	faulty := os.Getenv("TROUBLE") != "0"
	l := lab.New(os.Args[1], os.Args[2], lab.Options{
		Network: "127.61", Core: 3, Clauses: "base,drain,config,cost,retry,recover,tenants,quota,coord",
	})
	r := &run{Lab: l, puts: map[uint64]map[uint64]event{}, stop: make(chan struct{})}
	for _, node := range l.CoreNodes {
		node.Start()
	}
	// The first puts are repeated until the system takes them.
	for g := uint64(1); g <= groups; g++ {
		for n := 0; n < putsBefore*int(g); n++ {
			r.mustPut(g, 30*time.Second)
		}
	}
	time.Sleep(settle)
	observed := l.CoreNodes[0]
	var watchers sync.WaitGroup
	for _, n := range rand.Perm(groups) {
		g := uint64(n + 1)
		watchers.Go(func() { r.watch(g) })
	}
	r.Log("applications watch %d groups through %s", groups, observed.Name)
	go r.writer(time.Now().Add(idleFor))
	time.Sleep(killAfter)
	if faulty {
		observed.Kill()
		time.Sleep(backAfter)
		observed.Start()
	}
	time.Sleep(watchFor)
	close(r.stop)
	watchers.Wait()
	code := r.evaluate()
	l.Close()
	os.Exit(code)
}

// call makes a call at a control node. A watch waits longer.
func call(limit time.Duration, method, url string, body any) (status int, text []byte, err error) {
	var reader io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: limit}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

var errNoAnswer = errors.New("no clear answer")

// put puts a new value into a key of a group through another node than the observed one.
func (r *run) put(group uint64, value string) error {
	nodes := r.CoreNodes[1:]
	name := fmt.Sprintf("g%d.k%d", group, len(value)%3)
	for n := range 2 * len(nodes) {
		status, text, err := call(time.Second, "PUT", "http://"+nodes[n%len(nodes)].Control()+"/cells/"+name,
			map[string]any{"payload": value})
		var got answer
		if err == nil && status == http.StatusOK && json.Unmarshal(text, &got) == nil {
			r.Log("put %s=%s: revision %d", name, value, got.Revision)
			r.mu.Lock()
			if r.puts[group] == nil {
				r.puts[group] = map[uint64]event{}
			}
			r.puts[group][got.Revision] = event{name, value, got.Revision}
			r.mu.Unlock()
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNoAnswer
}

var lastValue uint64

func (r *run) mustPut(group uint64, limit time.Duration) {
	lastValue++
	value := fmt.Sprintf("v%d", lastValue)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if r.put(group, value) == nil {
			return
		}
	}
	r.Fatal("a put was not taken")
}

// writer puts a value into each group in turn.
func (r *run) writer(from time.Time) {
	time.Sleep(time.Until(from))
	for n := uint64(0); ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(putEvery):
		}
		r.mustPut(n%groups+1, 20*time.Second)
	}
}

// watch follows a group: it takes the revision of each answer as after. The present revision, from which it begins, is
// asked from the last node. Each further call goes to the first node, and after a failure to the next ones.
func (r *run) watch(group uint64) {
	var after uint64
	for n := len(r.CoreNodes) - 1; ; {
		select {
		case <-r.stop:
			return
		default:
		}
		node := r.CoreNodes[n%len(r.CoreNodes)]
		url := fmt.Sprintf("http://%s/watch/g%d.?after=%d&waitMs=%d", node.Control(), group, after, waitMs)
		status, text, err := call(waitMs*time.Millisecond+time.Second, "GET", url, nil)
		var got answer
		if err != nil || status != http.StatusOK || json.Unmarshal(text, &got) != nil {
			r.Log("watch g%d. after=%d at %s: status %d, %s %v", group, after, node.Name, status,
				strings.TrimSpace(string(text)), err)
			n++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r.Log("watch g%d. after=%d at %s: %s", group, after, node.Name, text)
		if after != 0 {
			r.mu.Lock()
			r.spans = append(r.spans, span{group, after, got})
			r.mu.Unlock()
		}
		after, n = got.Revision, 0
	}
}

// evaluate checks each answer to a watch: its events are puts of the group, they rise, and none is missing in its span.
func (r *run) evaluate() (code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := func(s span, format string, args ...any) {
		r.Log("BROKEN: watch g%d. after=%d, answered up to %d: "+format,
			append([]any{s.group, s.after, s.answer.Revision}, args...)...)
		code = 1
	}
	for _, s := range r.spans {
		last, shown := s.after, map[uint64]bool{}
		for _, e := range s.answer.Log {
			if !strings.HasPrefix(e.Name, fmt.Sprintf("g%d.", s.group)) {
				broken(s, "the event %s=%s at %d is of another group", e.Name, e.Payload, e.Revision)
			}
			if e.Revision <= last {
				broken(s, "the events do not rise")
			}
			last, shown[e.Revision] = e.Revision, true
		}
		if s.answer.Revision < s.after {
			broken(s, "the revision goes back")
		}
		for revision, e := range r.puts[s.group] {
			if revision > s.after && revision <= s.answer.Revision && !shown[revision] {
				broken(s, "the put %s=%s at %d is skipped", e.Name, e.Payload, revision)
			}
		}
	}
	r.Log("%d answers to watches evaluated, exit %d", len(r.spans), code)
	if len(r.spans) == 0 {
		return 2
	}
	return code
}
