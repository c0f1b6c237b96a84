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
const Catalogue = "catalogue"

const (
	topicAnnounce gossip.Topic = 9
	announceBeat               = 250 * time.Millisecond
)

// Announcing says what an announcer does with revisions. Its functions are called from one goroutine.
type Announcing struct {
	Check  func(text []byte) (number uint64, digest string, err error) // reads a revision that another ingress sent
	Take   func(text []byte)                                           // has one hold, in place of any other of its number
	Living func() []string
	Read   func(*revisionlog.Record) error // fs.ErrNotExist: none was kept
	Write  func(revisionlog.Record) error  // returns once it is on disk
}

// Announcer takes and, while this ingress holds the duty, announces revisions.
type Announcer struct {
	Announcing
	s  *Steward
	in chan func(now singleton.Seconds) []revisionlog.Action

	mu   sync.Mutex // guards the book
	book *revisionlog.Book

	troubled bool // the last record could not be written
}

// Announce has this ingress take announced revisions, and want the duty of announcing them. Those that were kept hold again at once;
// it tells whether there were any.
func (s *Steward) Announce(ctx context.Context, o Announcing) (a *Announcer, kept bool) {
	var r revisionlog.Record
	if err := o.Read(&r); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.o.Log.WithField("code", "duty-record-unusable").WithError(err).Warn("what was announced cannot be read; the holder tells it again")
		r = revisionlog.Record{}
	}
	a = &Announcer{Announcing: o, s: s, in: make(chan func(singleton.Seconds) []revisionlog.Action, queueMost), book: revisionlog.New(r)}
	for _, e := range r.Entries {
		o.Take(e.Text)
	}
	s.o.Fleet.Handle(topicAnnounce, func(from string, data []byte) {
		var m revisionlog.Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		a.post(func(now singleton.Seconds) []revisionlog.Action { return a.heard(now, from, m) })
	})
	s.done.Add(1)
	go func() { defer s.done.Done(); a.run(ctx) }()
	s.Do(Catalogue, "", a.hold)
	return a, len(r.Entries) > 0
}

// Offer tells of a revision in this ingress's own file.
func (a *Announcer) Offer(e revisionlog.Entry) {
	a.post(func(now singleton.Seconds) []revisionlog.Action { return a.step(now, revisionlog.Offered{Entry: e}) })
}

// post has something happen in the announcer's goroutine. What comes faster than it is done is lost, as on the network.
func (a *Announcer) post(f func(singleton.Seconds) []revisionlog.Action) {
	select {
	case a.in <- f:
	default:
	}
}

// hold is the work of the duty.
func (a *Announcer) hold(ctx context.Context, token func() (uint64, bool)) error {
	held, ok := token()
	if ok {
		a.in <- func(now singleton.Seconds) []revisionlog.Action { return a.step(now, revisionlog.Gained{Token: held}) }
	}
	<-ctx.Done()
	a.in <- func(now singleton.Seconds) []revisionlog.Action { return a.step(now, revisionlog.Lost{}) }
	return nil
}

func (a *Announcer) step(now singleton.Seconds, e revisionlog.Event) []revisionlog.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.book.Step(now, e)
}

// heard checks what another ingress says: a text must be what its digest and number say.
func (a *Announcer) heard(now singleton.Seconds, from string, m revisionlog.Message) []revisionlog.Action {
	for _, e := range m.Entries {
		if len(e.Text) == 0 {
			continue
		}
		if number, digest, err := a.Check(e.Text); err != nil || number != e.Number || digest != e.Digest {
			a.s.o.Log.WithFields(logrus.Fields{"code": "duty-announcement-bad", "from": from, "revision": e.Number}).WithError(err).Warn("a revision that is not what it is said to be was refused")
			return nil
		}
	}
	return a.step(now, revisionlog.Heard{From: from, Message: m})
}

func (a *Announcer) run(ctx context.Context) {
	tick := time.NewTicker(announceBeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.in:
			a.carry(f(a.s.now()))
		case <-tick.C:
			a.carry(a.step(a.s.now(), revisionlog.Tick{Living: a.Living(), Holder: a.s.Holder(Catalogue)}))
		}
	}
}

// carry does what the book wants.
func (a *Announcer) carry(actions []revisionlog.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case revisionlog.Send:
			switch x.Message.Kind {
			case revisionlog.Ask, revisionlog.Tell, revisionlog.Need, revisionlog.Refuse:
				if token, ok := a.s.May(Catalogue); !ok || token != x.Message.Token {
					continue
				}
			}
			if data, err := cbor.Marshal(x.Message); err == nil {
				a.s.o.Fleet.Send(x.To, topicAnnounce, data)
			}
		case revisionlog.Take:
			a.Take(x.Entry.Text)
			a.s.o.Log.WithFields(logrus.Fields{"code": "duty-announced", "revision": x.Entry.Number, "digest": x.Entry.Digest, "token": x.Entry.Token}).Info("a revision of the catalogue was announced")
		case revisionlog.Keep:
			err := a.Write(x.Record)
			if err == nil {
				a.carry(a.step(a.s.now(), revisionlog.Kept(x)))
			} else if !a.troubled {
				a.s.o.Log.WithField("code", "duty-no-room").WithError(err).Error("what was announced holds and cannot be kept; it is tried again, and not confirmed before")
			}
			a.troubled = err != nil
		case revisionlog.Turned:
			a.s.o.Log.WithFields(logrus.Fields{"code": "duty-revision-turned", "revision": x.Entry.Number, "digest": x.Entry.Digest}).Error("a revision of this ingress's file is not announced: its number stands for another; give it a higher one")
		}
	}
}

// Announced is what an ingress tells of the catalogue.
type Announced struct {
	Taken   uint64              `json:"taken"` // the newest token that it was told anything under
	Holder  string              `json:"holder"`
	Refused int                 `json:"refused"`
	Entries []revisionlog.Entry `json:"entries"` // without texts
}

// Report tells.
func (a *Announcer) Report() Announced {
	a.mu.Lock()
	all, taken := a.book.Entries()
	r := Announced{Taken: taken, Refused: a.book.Refused()}
	a.mu.Unlock()
	r.Holder = a.s.Holder(Catalogue)
	for _, e := range all {
		e.Text = nil
		r.Entries = append(r.Entries, e)
	}
	return r
}
