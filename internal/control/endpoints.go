package control

import (
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

const (
	changeTimeout        = 850 * time.Millisecond // an operator waits for a second, and longer where the call is long
	persistTimeout       = 800 * time.Millisecond
	maxHeartbeatBytes    = 4 << 10
	maxPatchBytes        = 28 << 20 // what a frame between control nodes holds
	largeBodyBytes       = 1 << 20  // of longer bodies only two are read at once
	maxIDLength          = 256
	maxCapacity          = 1 << 16
	maxColdSeconds       = 600 // seconds
	idleTimeout          = 5 * time.Second
	bodyTimeout          = 10 * time.Second
	heartbeatBodyTimeout = time.Second            // its body: the server waits for the answer no longer
	promptBodyTimeout    = 50 * time.Millisecond  // where room is short
	slowCallThreshold    = 250 * time.Millisecond // an operator's call that takes so long is logged
)

// endpoint is one that servers or operators make.
type endpoint struct {
	pattern      string // method and path
	maxBody      int64  // of the body, at most
	byOperator   bool   // of an operator, else a server's
	needsContact bool   // only in contact with a majority, when it comes and when it is answered: else 503 at once
	handle       func(*Node, *http.Request, []byte) reply
}

// endpoints is all of them.
var endpoints = []endpoint{
	{"PUT /instances/{id}", maxHeartbeatBytes, false, true, (*Node).putInstance},
	{"DELETE /instances/{id}", maxHeartbeatBytes, false, true, (*Node).deleteInstance},
	{"PATCH /config", maxPatchBytes, true, true, (*Node).patchConfig},
	{"GET /config", 0, true, true, (*Node).getConfig},
	{"GET /view", 0, true, false, (*Node).getView},
	{"GET /members", 0, true, false, (*Node).listMembers},
	{"POST /members/replace", replaceBytes, true, true, (*Node).replaceMember},
}

// reply is what a call gets: a status and a body of JSON.
type reply struct {
	status int
	body   []byte
}

var okReply = reply{http.StatusOK, []byte("{}")}

func errorReply(status int, message string) reply {
	b, err := json.Marshal(map[string]string{"message": message})
	if err != nil {
		panic(err) // a string always has a form
	}
	return reply{status, b}
}

var noContactReply = errorReply(http.StatusServiceUnavailable, "no contact with a majority of the control nodes")

func noMajorityReply(err error) reply { return errorReply(http.StatusServiceUnavailable, err.Error()) }

// server serves the calls.
func (n *Node) server() *http.Server {
	mux := http.NewServeMux()
	for _, c := range endpoints {
		mux.HandleFunc(c.pattern, func(w http.ResponseWriter, r *http.Request) {
			a := n.serveCall(c, w, r)
			n.callCounts(c).count(a.status)
			h := w.Header()
			h.Set("Content-Type", "application/json")
			h.Set("Content-Length", strconv.Itoa(len(a.body)))
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body) // who does not take it calls again
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write(errorReply(http.StatusNotFound, "no such call").body)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: bodyTimeout, WriteTimeout: 2 * bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 8 << 10, ConnState: n.gate.state, ConnContext: withCaller, ErrorLog: stdlog.New(log.NewStdlibAdapter(n.log), "", 0)}
}

// callCounts is where a call is counted.
func (n *Node) callCounts(c endpoint) *callCounts {
	if c.byOperator {
		return &n.operatorCalls
	}
	return &n.serverCalls
}

func (n *Node) serveCall(c endpoint, w http.ResponseWriter, r *http.Request) reply {
	reading := http.NewResponseController(w)
	// What is left of a body that is not taken is not waited for: the connection ends, and its place is free for others at once.
	refuse := func(status int, message string) reply {
		w.Header().Set("Connection", "close")
		_ = reading.SetReadDeadline(time.Now())
		n.gate.free(r)
		return errorReply(status, message)
	}
	if r.ContentLength > c.maxBody {
		return refuse(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	within := heartbeatBodyTimeout
	switch n.gate.begin(r, c.byOperator) {
	case closed:
		panic(http.ErrAbortHandler)
	case refused:
		return refuse(http.StatusServiceUnavailable, "too many calls are in hand")
	case admittedIfPrompt:
		within = promptBodyTimeout
	case admitted:
	}
	if c.maxBody > largeBodyBytes && (r.ContentLength > largeBodyBytes || r.ContentLength < 0) {
		select {
		case n.largeBodies <- struct{}{}:
			defer func() { <-n.largeBodies }()
		case <-time.After(changeTimeout):
			return refuse(http.StatusServiceUnavailable, "other large calls are being read")
		}
	}
	if !c.byOperator {
		_ = reading.SetReadDeadline(time.Now().Add(within)) // where it cannot be set, that of the server holds
	}
	body, err := readBody(http.MaxBytesReader(w, r.Body, c.maxBody), r.ContentLength)
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return refuse(http.StatusRequestEntityTooLarge, "the body is too long")
	case errors.Is(err, os.ErrDeadlineExceeded): // nothing is said about what it holds: it may come again, and elsewhere
		return refuse(http.StatusRequestTimeout, "the body did not come in time")
	case err != nil:
		return refuse(http.StatusBadRequest, "the body did not come")
	}
	if !c.byOperator {
		_ = reading.SetReadDeadline(time.Now().Add(bodyTimeout)) // the call goes on
	}
	if c.needsContact && !n.awaitContact(r.Context()) {
		return noContactReply
	}
	began := time.Now()
	a := c.handle(n, r, body)
	if took := time.Since(began); c.byOperator && took >= slowCallThreshold {
		n.log.Log("msg", "slow answer", "call", c.pattern, "ms", took.Milliseconds(), "status", a.status)
	}
	if c.needsContact && !n.inContact() && !mutated("acknowledges-alone") {
		return noContactReply // the process may have stood still meanwhile
	}
	return a
}

// awaitContact tells whether this node is in contact with a majority. Just after the start it waits a little for the first contact: all may
// have started at once.
func (n *Node) awaitContact(ctx context.Context) bool {
	if n.inContact() || mutated("acknowledges-alone") {
		return true
	}
	left := min(startupWait, startupGrace-time.Since(n.started))
	if left <= 0 {
		return false
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-n.contact.first:
	case <-t.C:
	case <-ctx.Done():
	}
	return n.inContact()
}

// readBody reads a body. For a long one memory is taken as it comes, not as its length claims.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > largeBodyBytes {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}

// heartbeatBody is the body of a server's call.
type heartbeatBody struct {
	Address string `json:"address"`
	Summary struct {
		Backend    string `json:"backend"`
		Generation string `json:"generation"`
		Zone       string `json:"zone"`
		Capacity   int    `json:"capacity"`
	} `json:"summary"`
	Observed struct {
		Phase      string  `json:"phase"`
		CallSeq    uint64  `json:"callSeq"`
		ColdLeftMs float64 `json:"coldLeftMs"`
	} `json:"observed"`
}

// parseInstance is what a server says of itself, checked.
func (n *Node) parseInstance(id string, body []byte) (l registry.Instance, err error) {
	if id == "" || len(id) > maxIDLength {
		return l, errors.New("no proper id")
	}
	var c heartbeatBody
	if err := json.Unmarshal(body, &c); err != nil {
		return l, errors.New("the body cannot be read")
	}
	l = registry.Instance{ID: id, Service: c.Summary.Backend, Address: c.Address, Zone: c.Summary.Zone, Generation: c.Summary.Generation,
		Capacity: c.Summary.Capacity, Seq: c.Observed.CallSeq}
	switch c.Observed.Phase {
	case "serving":
	case "draining":
		l.Phase = registry.Draining
	default:
		return l, errors.New("phase: neither serving nor draining")
	}
	if _, err := netip.ParseAddrPort(l.Address); err != nil && (l.Address != "" || l.Phase == registry.Serving) {
		return l, errors.New("address: not an IP address with a port")
	}
	if l.Service == "" && l.Phase == registry.Serving {
		return l, errors.New("backend: missing")
	}
	if l.Capacity < 0 || l.Capacity > maxCapacity {
		return l, errors.New("capacity: out of bounds")
	}
	if cold := c.Observed.ColdLeftMs / 1000; cold > 0 {
		l.ColdUntil = n.clock.Now() + min(cold, maxColdSeconds)
	}
	if !l.Valid() {
		return l, errors.New("not a proper line")
	}
	return l, nil
}

// putInstance takes a call of a server. That it leaves is acknowledged once it is known for good; agents hear of it at once.
func (n *Node) putInstance(r *http.Request, body []byte) reply {
	l, err := n.parseInstance(r.PathValue("id"), body)
	if err != nil {
		return errorReply(http.StatusBadRequest, err.Error())
	}
	l, sure := n.instances.heartbeat(l)
	if l.Phase < registry.Draining || sure {
		return okReply
	}
	return n.acknowledgeDeparture(r, l)
}

// deleteInstance takes a server's word that it has ended.
func (n *Node) deleteInstance(r *http.Request, _ []byte) reply {
	id := r.PathValue("id")
	if id == "" || len(id) > maxIDLength {
		return errorReply(http.StatusBadRequest, "no proper id")
	}
	l, sure := n.instances.departed(id)
	if sure {
		return okReply
	}
	return n.acknowledgeDeparture(r, l)
}

func (n *Node) acknowledgeDeparture(r *http.Request, l registry.Instance) reply {
	ctx, cancel := context.WithTimeout(r.Context(), persistTimeout)
	defer cancel()
	if !n.replicateDeparture(ctx, l) {
		return errorReply(http.StatusServiceUnavailable, "not on enough disks yet")
	}
	return okReply
}

// patchConfig takes a change of the operator.
func (n *Node) patchConfig(r *http.Request, body []byte) reply {
	items, err := configuration.ReadPatch(body)
	if err == nil && len(items) > 0 {
		err = n.proposals.change(r.Context(), items, changeTimeout+timeoutPerItem*time.Duration(max(0, len(items)-100)))
	}
	var refused *configuration.RejectionError
	switch {
	case err == nil:
		return okReply
	case errors.As(err, &refused):
		return errorReply(refused.Status, refused.Text)
	}
	return noMajorityReply(err)
}

// getConfig gives the newest configuration.
func (n *Node) getConfig(*http.Request, []byte) reply {
	if err := n.proposals.read(changeTimeout); err != nil {
		return noMajorityReply(err)
	}
	_, book := n.replica.snapshot()
	return reply{http.StatusOK, book.RenderJSON()}
}

func incarnationName(life uint64) string { return strconv.FormatUint(life, 16) }
