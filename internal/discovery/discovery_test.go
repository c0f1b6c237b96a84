package discovery

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/exchange"
	"mulleinrouter/passhub"
)

// TestExchanges plays discovery's side: what the module is told, and what the directory then says.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "discovery", "other")
		log := logrus.New()
		log.SetOutput(io.Discard)
		news := make(chan passhub.Backends, 10)
		w := &Watcher{Addr: p.Addr("discovery"), Directory: &Directory{}, Log: log,
			Tell: func(b passhub.Backends) { news <- b }, answer: time.Minute, silence: time.Minute}
		if strings.HasSuffix(script, "silent.txt") {
			w.silence = time.Millisecond
		}
		w.Known(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
		if !strings.HasSuffix(script, "known.txt") {
			w.listed = false // these are of an ingress that has no list to go on from
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		defer func() { cancel(); <-done }()
		p.Hooks["told"] = func(string) string {
			b := <-news
			text := fmt.Sprint(b.Complete)
			for _, x := range b.List {
				text += fmt.Sprintf(" %s/%s/%s/%v/%v/%v", x.ID, x.Zone, x.Kind, x.Serving, x.Size, x.Booted)
			}
			return text
		}
		p.Hooks["move"] = func(string) string {
			w.Move(p.Addr("other"))
			return ""
		}
		p.Hooks["s-1"] = lookup(w, "s-1")
		p.Hooks["s-2"] = lookup(w, "s-2")
		p.Play(script)
	})
}

func lookup(w *Watcher, id string) func(string) string {
	return func(string) string {
		addr, serving := w.Directory.Lookup(id)
		return fmt.Sprintf("%q %v", addr, serving)
	}
}
