package histories

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// CallTimeout is how long an application waits for an answer.
	CallTimeout = time.Second

	crashTimeout   = 50 * time.Millisecond // time from a call to the simulated crash of its application
	maxPutAttempts = 4                     // how often one put is sent at most until it gets a definite answer
	maxRenewals    = 4                     // one more than the largest number of renewals of one lock
	locks          = 2                     // number of locks
	groups         = 2                     // number of groups of cells
	cells          = 3                     // number of cells in each group
	maxPause       = 60 * time.Millisecond // longest pause of an application between two calls
)

// watchWaits are how long the server of a watch call waits for an event. The longest one outlasts a restart of a node,
// so that its watches are still pending at another node when it is back.
var watchWaits = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second}

// SendFunc sends a call to any control node, and returns its answer. The status is 0 if no answer arrived
// within the timeout.
type SendFunc func(method, path, body string, timeout time.Duration) (status int, text string)

// Workload is a set of applications that use locks, numbers, cells and watches, and record the answers. It is safe for
// concurrent use.
type Workload struct {
	send      SendFunc
	startedAt time.Time

	mu           sync.Mutex // guards the fields below
	rnd          *rand.Rand
	records      map[string][]Call  // by path
	watches      map[string][]Watch // by group
	watchedUntil map[string]uint64  // revision up to which all events have been received, by group
	puts         int                // number of values put so far, which makes each value unique
	violations   []string
}

// NewWorkload returns a workload that makes its calls through send. The seed determines its random choices.
func NewWorkload(seed uint64, send SendFunc) *Workload {
	return &Workload{
		send: send, startedAt: time.Now(), rnd: rand.New(rand.NewPCG(seed, 0)),
		records: map[string][]Call{}, watches: map[string][]Watch{}, watchedUntil: map[string]uint64{},
	}
}

// Run runs one application until stop is closed.
func (w *Workload) Run(app int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		switch w.Random(6) {
		case 0, 1, 2:
			w.useLock(app)
		case 3:
			w.call(Call{App: app, Kind: Number}, http.MethodPost, "/numbers/n0", "{}")
		case 4:
			w.useCell(app)
		case 5:
			w.watch()
		}
		time.Sleep(time.Duration(w.Random(int(maxPause))))
	}
}

// RunWatcher runs one application that only watches, until stop is closed. It has a watch pending nearly always.
func (w *Workload) RunWatcher(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		w.watch()
		time.Sleep(time.Duration(w.Random(int(maxPause))))
	}
}

// Random returns a random number from 0 to n-1.
func (w *Workload) Random(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *Workload) now() time.Duration { return time.Since(w.startedAt) }

// answerBody contains the fields of the answers to all kinds of calls.
type answerBody struct {
	Fence    uint64          `json:"fence"`
	Payload  json.RawMessage `json:"payload"`
	Revision uint64          `json:"revision"`
	Log      []Event         `json:"log"`
}

// call makes a call and records it with its answer.
func (w *Workload) call(c Call, method, path, body string) Call {
	return w.callWithin(CallTimeout, c, method, path, body)
}

// callWithin is call with another timeout.
func (w *Workload) callWithin(timeout time.Duration, c Call, method, path, body string) Call {
	c.Sent = w.now()
	status, text := w.send(method, path, body, timeout)
	c.Received, c.Status = w.now(), status
	var answer answerBody
	if status == http.StatusOK || status == http.StatusPreconditionFailed {
		if err := json.Unmarshal([]byte(text), &answer); err != nil {
			w.addViolation(fmt.Sprintf("%s %s: %d, the answer is not valid JSON: %s", method, path, status, text))
		}
	}
	switch c.Kind {
	case Acquire:
		c.Fence = answer.Fence
	case Number:
		_ = json.Unmarshal(answer.Payload, &c.Number) // without a number it stays 0, which checkNumbers rejects
	case Put:
		c.Number = answer.Revision
	case Get:
		c.Number = answer.Revision
		_ = json.Unmarshal(answer.Payload, &c.Value)
	case Renew, Release:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records[path] = append(w.records[path], c)
	return c
}

func (w *Workload) addViolation(description string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, description)
}

// useLock acquires a lock and renews it a few times. Then it releases the lock or, in one of three cases, lets the hold
// time expire as a crashed or stalled application does.
func (w *Workload) useLock(app int) {
	path := fmt.Sprint("/locks/l", w.Random(locks))
	hold := []time.Duration{400, 1500, 4000}[w.Random(3)] * time.Millisecond
	owner := fmt.Sprint("app.", app)
	c := Call{App: app, Kind: Acquire, Hold: hold}
	c = w.call(c, http.MethodPost, path, fmt.Sprintf(`{"owner":%q,"holdMs":%d}`, owner, hold.Milliseconds()))
	if c.Status != http.StatusOK {
		return
	}
	end := c.Sent + hold
	c.Kind = Renew
	for range w.Random(maxRenewals) {
		time.Sleep(hold * time.Duration(w.Random(maxRenewals)) / maxRenewals)
		if w.now() >= end {
			break
		}
		renewal := fmt.Sprintf(`{"owner":%q,"fence":%d,"holdMs":%d}`, owner, c.Fence, hold.Milliseconds())
		c = w.call(c, http.MethodPut, path, renewal)
		if c.Status == http.StatusConflict {
			return
		}
		if c.Status == http.StatusOK && c.Received < end {
			end = c.Sent + hold
		}
	}
	if w.Random(3) > 0 {
		w.release(c, path, owner)
	}
}

// release releases a lock. If there is no answer, the application acquires the lock again at once in one of two cases,
// with the same owner name. The timeout is CallTimeout or, as if the application crashed and restarted, much shorter.
func (w *Workload) release(c Call, path, owner string) {
	c.Kind = Release
	timeout := []time.Duration{crashTimeout, CallTimeout}[w.Random(2)]
	c = w.callWithin(timeout, c, http.MethodDelete, path, fmt.Sprintf(`{"owner":%q,"fence":%d}`, owner, c.Fence))
	if c.Status == http.StatusOK || w.Random(2) == 0 {
		return
	}
	c.Kind = Acquire
	w.call(c, http.MethodPost, path, fmt.Sprintf(`{"owner":%q,"holdMs":%d}`, owner, c.Hold.Milliseconds()))
}

// useCell reads a cell. In two of three cases it then puts a value, either unconditionally or on condition of the
// revision that it has read. It sends the put up to maxPutAttempts times, until there is a definite answer.
func (w *Workload) useCell(app int) {
	path := fmt.Sprintf("/cells/%sk%d", groupName(w.Random(groups)), w.Random(cells))
	read := w.call(Call{App: app, Kind: Get}, http.MethodGet, path, "")
	if read.Status != http.StatusOK && read.Status != http.StatusNotFound || w.Random(3) == 0 {
		return
	}
	w.mu.Lock()
	w.puts++
	c := Call{App: app, Kind: Put, Value: fmt.Sprint("v", w.puts)}
	w.mu.Unlock()
	body := fmt.Sprintf(`{"payload":%q}`, c.Value)
	if w.Random(2) == 0 {
		c.Expected = &read.Number
		body = fmt.Sprintf(`{"payload":%q,"active":%d}`, c.Value, read.Number)
	}
	for range maxPutAttempts {
		c = w.call(c, http.MethodPut, path, body)
		if c.Status == http.StatusOK || c.Status == http.StatusPreconditionFailed {
			return
		}
	}
}

func groupName(n int) string { return fmt.Sprintf("g%d.", n) }

// watch requests the events of a group after those received so far. The first watch of a group only finds the current
// revision and is not checked.
func (w *Workload) watch() {
	group := groupName(w.Random(groups))
	w.mu.Lock()
	after := w.watchedUntil[group]
	w.mu.Unlock()
	wait := watchWaits[w.Random(len(watchWaits))]
	path := fmt.Sprintf("/watch/%s?after=%d&waitMs=%d", group, after, wait.Milliseconds())
	status, text := w.send(http.MethodGet, path, "", CallTimeout+wait)
	if status == http.StatusGone {
		w.addViolation(fmt.Sprintf("watch of %s after %d: got 410, want the events after that revision", group, after))
	}
	if status != http.StatusOK {
		return
	}
	var answer answerBody
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		w.addViolation("watch: the answer is not valid JSON: " + text)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if after > 0 {
		w.watches[group] = append(w.watches[group], Watch{after, answer.Revision, answer.Log})
	}
	w.watchedUntil[group] = max(w.watchedUntil[group], answer.Revision)
}

// Resume watches each group from the revision up to which events have been received, and records a violation if such a
// watch fails.
func (w *Workload) Resume() {
	for n := range groups {
		w.mu.Lock()
		after := w.watchedUntil[groupName(n)]
		w.mu.Unlock()
		path := fmt.Sprintf("/watch/%s?after=%d&waitMs=0", groupName(n), after)
		if status, text := w.send(http.MethodGet, path, "", CallTimeout); status != http.StatusOK {
			w.addViolation(fmt.Sprintf("at the end, %s: got %d %s, want 200", path, status, text))
		}
	}
}

// Check checks all recorded calls, and returns a description of each violation. All applications must have ended.
func (w *Workload) Check() (wrong []string) {
	wrong = slices.Clone(w.violations)
	puts := map[string]map[uint64]string{}
	for n := range groups {
		puts[groupName(n)] = map[uint64]string{}
	}
	for _, path := range slices.Sorted(maps.Keys(w.records)) {
		calls := w.records[path]
		verdict := ""
		switch {
		case strings.HasPrefix(path, "/locks/"):
			verdict = checkLock(path, calls)
		case strings.HasPrefix(path, "/numbers/"):
			verdict = checkNumbers(path, calls)
		default:
			group, _, _ := strings.Cut(strings.TrimPrefix(path, "/cells/"), "k")
			if verdict = collectPuts(group, calls, puts[group]); verdict == "" {
				verdict = checkCell(path, calls)
			}
		}
		if verdict != "" {
			wrong = append(wrong, verdict)
		}
	}
	for _, group := range slices.Sorted(maps.Keys(puts)) {
		if verdict := checkWatches(group, puts[group], w.watches[group]); verdict != "" {
			wrong = append(wrong, verdict)
		}
	}
	return wrong
}

// collectPuts adds the values of acknowledged puts to puts, by revision. Two values with the same revision in a group
// are a violation.
func collectPuts(group string, calls []Call, puts map[uint64]string) (wrong string) {
	for _, c := range calls {
		if c.Kind != Put || c.Status != http.StatusOK {
			continue
		}
		if value, given := puts[c.Number]; given && value != c.Value {
			wrong = fmt.Sprintf("%s: revision %d was given to %s and %s", group, c.Number, value, c.Value)
		}
		puts[c.Number] = c.Value
	}
	return wrong
}

// Outcomes returns the number of answers, by kind of call and status.
func (w *Workload) Outcomes() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, calls := range w.records {
		for _, c := range calls {
			counts[fmt.Sprint(c.Kind, " ", c.Status)]++
		}
	}
	return counts
}
