package leaseservice

import (
	"context"
	"errors"
	"io/fs"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/revisionlog"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Catalogue is the duty of announcing revisions of the catalogue, so that all ingresses take one order.
const RoleCatalogue = "catalogue"

const (
	topicAnnounce    gossip.Topic = 9
	announceInterval              = 250 * time.Millisecond
)

// Announcing says what an announcer does with revisions. Its functions are called from one goroutine.
type AnnouncerOptions struct {
	Check     func(text []byte) (number uint64, digest string, err error) // reads a revision that another ingress sent
	Apply     func(text []byte)                                           // has one hold, in place of any other of its number
	LivePeers func() []string
	Read      func(*revisionlog.Record) error // fs.ErrNotExist: none was kept
	Write     func(revisionlog.Record) error  // returns once it is on disk
}

// Announcer takes and, while this ingress holds the duty, announces revisions.
type Announcer struct {
	AnnouncerOptions
	service *Service
	inbox   chan func(now singleton.Seconds) []revisionlog.Action

	mu  sync.Mutex // guards the book
	log *revisionlog.Log

	storeFailed bool // the last record could not be written
}

// Announce has this ingress take announced revisions, and want the duty of announcing them. Those that were kept hold again at once;
// it tells whether there were any.
func (s *Service) StartAnnouncer(ctx context.Context, o AnnouncerOptions) (a *Announcer, kept bool) {
	var r revisionlog.Record
	if err := o.Read(&r); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.options.Log.WithField("code", "duty-record-unusable").WithError(err).Warn("what was announced cannot be read; the holder tells it again")
		r = revisionlog.Record{}
	}
	a = &Announcer{AnnouncerOptions: o, service: s, inbox: make(chan func(singleton.Seconds) []revisionlog.Action, inboxSize), log: revisionlog.New(r)}
	for _, e := range r.Entries {
		o.Apply(e.Text)
	}
	s.options.Fleet.Handle(topicAnnounce, func(from string, data []byte) {
		var m revisionlog.Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		a.enqueue(func(now singleton.Seconds) []revisionlog.Action { return a.messageReceived(now, from, m) })
	})
	s.goroutines.Add(1)
	go func() { defer s.goroutines.Done(); a.run(ctx) }()
	s.AddRole(RoleCatalogue, "", a.announceRole)
	return a, len(r.Entries) > 0
}

// Offer tells of a revision in this ingress's own file.
func (a *Announcer) Submit(e revisionlog.Entry) {
	a.enqueue(func(now singleton.Seconds) []revisionlog.Action {
		return a.step(now, revisionlog.LocalRevision{Entry: e})
	})
}

// post has something happen in the announcer's goroutine. What comes faster than it is done is lost, as on the network.
func (a *Announcer) enqueue(f func(singleton.Seconds) []revisionlog.Action) {
	select {
	case a.inbox <- f:
	default:
	}
}

// hold is the work of the duty.
func (a *Announcer) announceRole(ctx context.Context, token func() (uint64, bool)) error {
	held, ok := token()
	if ok {
		a.inbox <- func(now singleton.Seconds) []revisionlog.Action {
			return a.step(now, revisionlog.LeaseGained{Token: held})
		}
	}
	<-ctx.Done()
	a.inbox <- func(now singleton.Seconds) []revisionlog.Action { return a.step(now, revisionlog.LeaseLost{}) }
	return nil
}

func (a *Announcer) step(now singleton.Seconds, e revisionlog.Event) []revisionlog.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.log.Step(now, e)
}

// heard checks what another ingress says: a text must be what its digest and number say.
func (a *Announcer) messageReceived(now singleton.Seconds, from string, m revisionlog.Message) []revisionlog.Action {
	for _, e := range m.Entries {
		if len(e.Text) == 0 {
			continue
		}
		if number, digest, err := a.Check(e.Text); err != nil || number != e.Number || digest != e.Digest {
			a.service.options.Log.WithFields(logrus.Fields{"code": "duty-announcement-bad", "from": from, "revision": e.Number}).WithError(err).Warn("a revision that is not what it is said to be was refused")
			return nil
		}
	}
	return a.step(now, revisionlog.MessageReceived{From: from, Message: m})
}

func (a *Announcer) run(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.inbox:
			a.execute(f(a.service.now()))
		case <-tick.C:
			a.execute(a.step(a.service.now(), revisionlog.Tick{LivePeers: a.LivePeers(), LeaseHolder: a.service.LeaseHolder(RoleCatalogue)}))
		}
	}
}

// carry does what the book wants.
func (a *Announcer) execute(actions []revisionlog.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case revisionlog.Send:
			switch x.Message.Kind {
			case revisionlog.Query, revisionlog.Announce, revisionlog.Fetch, revisionlog.Reject:
				if token, ok := a.service.FencingToken(RoleCatalogue); !ok || token != x.Message.Token {
					continue
				}
			}
			if data, err := cbor.Marshal(x.Message); err == nil {
				a.service.options.Fleet.Send(x.To, topicAnnounce, data)
			}
		case revisionlog.Apply:
			a.Apply(x.Entry.Text)
			a.service.options.Log.WithFields(logrus.Fields{"code": "duty-announced", "revision": x.Entry.Number, "digest": x.Entry.Digest, "token": x.Entry.Token}).Info("a revision of the catalogue was announced")
		case revisionlog.StoreRecord:
			err := a.Write(x.Record)
			if err == nil {
				a.execute(a.step(a.service.now(), revisionlog.RecordStored(x)))
			} else if !a.storeFailed {
				a.service.options.Log.WithField("code", "duty-no-room").WithError(err).Error("what was announced holds and cannot be kept; it is tried again, and not confirmed before")
			}
			a.storeFailed = err != nil
		case revisionlog.ReportConflict:
			a.service.options.Log.WithFields(logrus.Fields{"code": "duty-revision-turned", "revision": x.Entry.Number, "digest": x.Entry.Digest}).Error("a revision of this ingress's file is not announced: its number stands for another; give it a higher one")
		}
	}
}

// Announced is what an ingress tells of the catalogue.
type AnnouncerStatus struct {
	LastToken uint64              `json:"taken"` // the newest token that it was told anything under
	Holder    string              `json:"holder"`
	Rejected  int                 `json:"refused"`
	Entries   []revisionlog.Entry `json:"entries"` // without texts
}

// Report tells.
func (a *Announcer) Status() AnnouncerStatus {
	a.mu.Lock()
	all, taken := a.log.Entries()
	r := AnnouncerStatus{LastToken: taken, Rejected: a.log.Rejected()}
	a.mu.Unlock()
	r.Holder = a.service.LeaseHolder(RoleCatalogue)
	for _, e := range all {
		e.Text = nil
		r.Entries = append(r.Entries, e)
	}
	return r
}
