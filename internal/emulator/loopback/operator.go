package loopback

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	callTimeout     = time.Second            // for an answer; a change gets 1 s more for each MB of its body
	minBackoff      = 100 * time.Millisecond // before the first retry of a call
	maxBackoff      = time.Second            // upper limit of the backoff, which doubles with each retry
	patchTimeout    = 20 * time.Second       // time after which the operator stops retrying a change
	readBackTimeout = 8 * time.Second        // for the complete configuration to be read back from one node
	maxConfigBytes  = 64 << 20               // maximum size of an answer, bytes
	configPath      = "/config"

	initialVersion = 6 // all versions that the operator sends are above it

	// maxAmbiguousAnswers is the number of 4xx answers to a change that are ignored if they do not clearly reject it.
	maxAmbiguousAnswers = 2
)

// operator changes the configuration through the control nodes, and stores the items that it submitted last.
type operator struct {
	cluster *cluster

	mu          sync.Mutex // guards the fields below
	rng         *rand.Rand
	lastVersion uint64
	sent        map[string]item // latest version of each item that submit sent, by key
}

func newOperator(cl *cluster) *operator {
	return &operator{
		cluster:     cl,
		rng:         cl.randStream(operatorStream),
		lastVersion: initialVersion,
		sent:        map[string]item{},
	}
}

// nextVersion returns a version above all earlier ones. It skips some versions at random.
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

// latest returns the latest version that submit sent of the item with this key; ok is false if it sent none.
func (o *operator) latest(key string) (i item, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i, ok = o.sent[key]
	return i, ok
}

// submit sends valid items with one new version, and returns the status that send returns.
func (o *operator) submit(items ...item) (status int) {
	version := o.nextVersion()
	o.mu.Lock()
	for n, i := range items {
		items[n] = i.withVersion(version)
		o.sent[i.key()] = items[n]
	}
	o.mu.Unlock()
	return o.send(o.intn(len(o.cluster.core)), true, items...)
}

// change is a change of the configuration by the operator, over all attempts to send it.
type change struct {
	items            []item
	valid            bool // the control nodes must accept the change
	versions         []*invariants.Version
	ambiguousAnswers int // number of 4xx answers so far that did not clearly reject the change
}

// send sends items to one node and, if that fails, to the others in turn, until one accepts or rejects them. Status 0
// means that none did within patchTimeout or until the traffic ended.
func (o *operator) send(first int, valid bool, items ...item) (status int) {
	cl := o.cluster
	c := &change{items: items, valid: valid}
	for _, i := range items {
		v := recordedVersion(i, valid, cl.now())
		c.versions = append(c.versions, v)
		cl.recorder.version(v)
	}
	text := encodePatch(items)
	timeout := callTimeout + time.Duration(len(text))*time.Microsecond
	backoff, until := minBackoff, time.Now().Add(patchTimeout)
	for n := first; ; n++ {
		node := cl.core[n%len(cl.core)]
		began := cl.now()
		status, answer := o.call(http.MethodPatch, node, text, timeout)
		if status/100 == 2 {
			o.acknowledged(c, node, began)
			return status
		}
		if c.isRejection(status) {
			o.rejected(c, node, status, answer)
			return status
		}
		if time.Now().After(until) || cl.traffic.Err() != nil {
			cl.recorder.notef("a change of %d items was never acknowledged; the answer to attempt %d was %d: %.200s",
				len(items), n-first+1, status, answer)
			return 0
		}
		cl.sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// rejectedChangeStatuses contains the statuses that permanently reject a change.
var rejectedChangeStatuses = []int{
	http.StatusBadRequest,
	http.StatusConflict,
	http.StatusPreconditionFailed,
	http.StatusRequestEntityTooLarge,
	http.StatusUnprocessableEntity,
}

// isRejection reports whether a status rejects the change. One of the rejectedChangeStatuses always does. Another 4xx
// status does only if it is not retryable and there have been exactly maxAmbiguousAnswers such 4xx answers before,
// retryable ones included.
func (c *change) isRejection(status int) bool {
	if slices.Contains(rejectedChangeStatuses, status) {
		return true
	}
	if status/100 != 4 {
		return false
	}
	retryable := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
	if !retryable && c.ambiguousAnswers == maxAmbiguousAnswers {
		return true
	}
	c.ambiguousAnswers++
	return false
}

func (o *operator) acknowledged(c *change, node *machine, began invariants.Seconds) {
	cl := o.cluster
	cl.recorder.update(func() {
		for _, v := range c.versions {
			v.Acked = cl.now()
		}
	})
	cl.lastAcknowledger.Store(node)
	cl.changeLatencies.add(cl.now() - began)
}

func (o *operator) rejected(c *change, node *machine, status int, answer []byte) {
	o.cluster.recorder.update(func() {
		for _, v := range c.versions {
			v.Refused = true
		}
	})
	if c.valid {
		o.cluster.recorder.notef("a valid change was rejected with status %d by %s: %.200s", status, node.name, answer)
	}
}

// call makes one call to a control node. Status 0 means that there was no answer; answer is then the text of the error.
func (o *operator) call(method string, node *machine, text []byte, timeout time.Duration) (status int, answer []byte) {
	cl := o.cluster
	ctx, cancel := context.WithTimeout(cl.lifetime, timeout)
	defer cancel()
	url := "http://" + node.address(cl.ports.control) + configPath
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		panic(err) // cannot happen: the method and URL are valid
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := cl.httpClient.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, answer
}

// readBack reads the configuration from each control node, as the operator does at the end of a run.
func (o *operator) readBack() {
	var all sync.WaitGroup
	for _, m := range o.cluster.core {
		all.Go(func() { o.readBackFrom(m) })
	}
	all.Wait()
}

func (o *operator) readBackFrom(node *machine) {
	cl := o.cluster
	until := time.Now().Add(readBackTimeout)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		began := cl.now()
		status, text := o.call(http.MethodGet, node, nil, 2*callTimeout)
		if status == http.StatusOK {
			items, err := decodeItems(text)
			if err != nil {
				cl.recorder.notef("%s: the answer to GET /config is invalid: %v", node.name, err)
				return
			}
			cl.recorder.configRead(invariants.ConfigRead{Machine: node.name, At: began, Items: items})
			return
		}
		if time.Now().After(until) {
			cl.recorder.notef("%s: GET /config was not answered with status 200 in time", node.name)
			return
		}
		cl.sleep(backoff)
	}
}
