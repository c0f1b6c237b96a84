package leaseservice

import (
	"context"
	"errors"
	"io/fs"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/revisionlog"
)

// RoleCatalogue is the role of announcing revisions of the catalogue, so that all ingresses apply them in one order.
const RoleCatalogue = "catalogue"

// announceInterval is the time between two ticks of the revision log. A tick sends the queries, announcements and local
// revisions that are due.
const announceInterval = 250 * time.Millisecond

// AnnouncerOptions are the options of an Announcer. After the start its functions are called from one goroutine.
type AnnouncerOptions struct {
	// Check parses the text of a revision that another ingress sent, and returns the number and digest of the revision.
	Check func(text []byte) (number uint64, digest string, err error)
	// Apply puts a revision into effect. It replaces any other content of the same number.
	Apply func(text []byte)
	// LivePeers returns the names of the other ingresses that are alive.
	LivePeers func() []string
	// Read reads the stored record. Its error is fs.ErrNotExist if there is none.
	Read func(*revisionlog.Record) error
	// Write replaces the stored record, and returns once the new one is durable.
	Write func(revisionlog.Record) error
}

// Announcer applies the revisions that are announced and, while this ingress holds RoleCatalogue, announces them.
type Announcer struct {
	options     AnnouncerOptions
	service     *Service
	inbox       chan revisionlog.Event
	done        <-chan struct{} // closed when run must end
	writeFailed bool            // whether the last Write failed; only used by run's goroutine

	mu  sync.Mutex // guards log
	log *revisionlog.Log
}

// StartAnnouncer makes this ingress apply announced revisions until the context ends, and request RoleCatalogue.
// Revisions of the stored record are applied before it returns; restored reports whether there were any.
func (s *Service) StartAnnouncer(ctx context.Context, o AnnouncerOptions) (a *Announcer, restored bool) {
	var r revisionlog.Record
	if err := o.Read(&r); err != nil && !errors.Is(err, fs.ErrNotExist) {
		level.Warn(s.log("duty-record-unusable")).Log(
			"msg", "stored catalogue revisions cannot be read; the lease holder sends them again",
			"error", err,
		)
		r = revisionlog.Record{}
	}
	a = &Announcer{
		options: o,
		service: s,
		inbox:   make(chan revisionlog.Event, inboxSize),
		done:    ctx.Done(),
		log:     revisionlog.New(r),
	}
	for _, e := range r.Entries {
		o.Apply(e.Text)
	}
	s.options.Fleet.Handle(topicRevisionLog, func(from string, data []byte) {
		var m revisionlog.Message
		if cbor.Unmarshal(data, &m) == nil {
			a.enqueue(revisionlog.MessageReceived{From: from, Message: m})
		}
	})
	s.goroutines.Go(func() { a.run(ctx) })
	s.AddRole(RoleCatalogue, "", a.announceWork)
	return a, len(r.Entries) > 0
}

// Submit submits a revision of this ingress's own file.
func (a *Announcer) Submit(e revisionlog.Entry) { a.enqueue(revisionlog.LocalRevision{Entry: e}) }

// enqueue passes an event to the goroutine of run without blocking. If the inbox is full the event is dropped, like a
// message that the network loses.
func (a *Announcer) enqueue(event revisionlog.Event) {
	select {
	case a.inbox <- event:
	default:
	}
}

// announceWork is the work of RoleCatalogue. It reports the gain and the loss of the lease to the revision log, which
// announces revisions in between.
func (a *Announcer) announceWork(ctx context.Context, token func() (uint64, bool)) error {
	if gained, ok := token(); ok {
		a.enqueueBlocking(revisionlog.LeaseGained{Token: gained})
	}
	<-ctx.Done()
	a.enqueueBlocking(revisionlog.LeaseLost{})
	return nil
}

// enqueueBlocking passes an event that must not be lost to the goroutine of run, and waits until the inbox has room.
func (a *Announcer) enqueueBlocking(event revisionlog.Event) {
	select {
	case a.inbox <- event:
	case <-a.done:
	}
}

func (a *Announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.inbox:
			a.handle(event)
		case <-ticker.C:
			a.handle(revisionlog.Tick{
				LivePeers:   a.options.LivePeers(),
				LeaseHolder: a.service.RoleHolder(RoleCatalogue),
			})
		}
	}
}

// handle passes an event to the log and executes the resulting actions. A message with a text that does not match its
// number and digest is dropped.
func (a *Announcer) handle(event revisionlog.Event) {
	if m, ok := event.(revisionlog.MessageReceived); ok && !a.check(m) {
		return
	}
	for _, action := range a.step(event) {
		a.execute(action)
	}
}

func (a *Announcer) step(event revisionlog.Event) []revisionlog.Action {
	now := a.service.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.log.Step(now, event)
}

// check reports whether the texts of a message match their digests and numbers.
func (a *Announcer) check(m revisionlog.MessageReceived) bool {
	for _, e := range m.Message.Entries {
		if len(e.Text) == 0 {
			continue
		}
		number, digest, err := a.options.Check(e.Text)
		if err != nil || number != e.Number || digest != e.Digest {
			level.Warn(a.service.log("duty-announcement-bad")).Log(
				"msg", "announced revision rejected: it does not match its number or digest",
				"from", m.From, "revision", e.Number, "error", err,
			)
			return false
		}
	}
	return true
}

func (a *Announcer) execute(action revisionlog.Action) {
	switch action := action.(type) {
	case revisionlog.Send:
		a.send(action)
	case revisionlog.Apply:
		a.options.Apply(action.Entry.Text)
		level.Info(a.service.log("duty-announced")).Log("msg", "catalogue revision announced",
			"revision", action.Entry.Number, "digest", action.Entry.Digest, "token", action.Entry.Token,
		)
	case revisionlog.StoreRecord:
		a.store(action.Record)
	case revisionlog.ReportConflict:
		level.Error(a.service.log("duty-revision-turned")).Log(
			"msg", "revision of this ingress's file not announced: its number is too low or already in use for other "+
				"content; use a higher number",
			"revision", action.Entry.Number, "digest", action.Entry.Digest,
		)
	}
}

// send sends a message. A message of a kind that only the lease holder sends is dropped unless this ingress holds the
// lease under the message's token.
func (a *Announcer) send(action revisionlog.Send) {
	if action.Message.Kind.FromLeaseHolder() {
		if token, ok := a.service.FencingToken(RoleCatalogue); !ok || token != action.Message.Token {
			return
		}
	}
	if data, err := cbor.Marshal(action.Message); err == nil {
		a.service.options.Fleet.Send(action.To, topicRevisionLog, data)
	}
}

// store stores a record. If that fails the record is not confirmed to the lease holder, and the log stores it again
// later. Only the first of several failures in a row is logged.
func (a *Announcer) store(r revisionlog.Record) {
	err := a.options.Write(r)
	failedBefore := a.writeFailed
	if err == nil {
		a.handle(revisionlog.RecordStored{Record: r})
	} else if !failedBefore {
		level.Error(a.service.log("duty-no-room")).Log(
			"msg", "announced catalogue revisions are applied but cannot be stored; they are confirmed once stored",
			"error", err,
		)
	}
	a.writeFailed = err != nil
}

// AnnouncerStatus is the state of an ingress's revision log, as operators see it. The JSON names are those of the first
// version.
type AnnouncerStatus struct {
	LastToken uint64              `json:"taken"` // newest fencing token seen
	Holder    string              `json:"holder"`
	Rejected  int                 `json:"refused"` // number of rejected messages
	Entries   []revisionlog.Entry `json:"entries"` // without texts
}

// Status returns the current state.
func (a *Announcer) Status() AnnouncerStatus {
	a.mu.Lock()
	entries, lastToken := a.log.Entries()
	status := AnnouncerStatus{LastToken: lastToken, Rejected: a.log.Rejected()}
	a.mu.Unlock()
	status.Holder = a.service.RoleHolder(RoleCatalogue)
	for _, e := range entries {
		e.Text = nil
		status.Entries = append(status.Entries, e)
	}
	return status
}
