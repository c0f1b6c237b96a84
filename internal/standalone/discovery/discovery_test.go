package discovery

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
)

// TestExchanges plays discovery's side: what the module is told, and what the directory then says.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "discovery", "other")
		log := logrus.New()
		log.SetOutput(io.Discard)
		news := make(chan decision.Backends, 10)
		w := &Watcher{Addr: p.Addr("discovery"), Directory: &Directory{}, Log: log,
			OnUpdate: func(b decision.Backends) { news <- b }, answer: time.Minute, silence: time.Minute}
		if strings.HasSuffix(script, "silent.txt") {
			w.silence = time.Millisecond
		}
		w.RestoreList(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
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
				text += fmt.Sprintf(" %s/%s/%s/%v/%v/%v", x.ID, x.Zone, x.Kind, x.Serving, x.Size, x.StartedAt)
			}
			return text
		}
		p.Hooks["move"] = func(string) string {
			w.SetAddress(p.Addr("other"))
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

// Lists that discovery may send in trouble, one behind the other: what is no list changes nothing, the rest is read as far
// as it has a meaning.
func TestOddLists(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	told := 0
	w := &Watcher{Directory: &Directory{}, Log: log, OnUpdate: func(decision.Backends) { told++ }}
	const active = `{"uid":"s-1","endpoint":"h:1","state":"active"}`
	hundreds := make([]string, 600)
	for i := range hundreds {
		hundreds[i] = fmt.Sprintf(`{"uid":"s-%d","endpoint":"h:%d","state":"active"}`, i, i)
	}
	for _, tc := range []struct {
		name, list string
		bad        bool
		servers    int
		addr       string
		serving    bool
	}{
		{"first", `{"rev":1,"all":true,"targets":[` + active + `]}`, false, 1, "h:1", true},
		{"cut short", `{"rev":2,"all":true,"targets":[{"uid":"s-2"`, true, 1, "h:1", true},
		{"not a list", `[]`, true, 1, "h:1", true},
		{"a number as address", `{"rev":2,"all":true,"targets":[{"uid":"s-1","endpoint":7}]}`, true, 1, "h:1", true},
		{"a number without end", `{"rev":2,"all":true,"targets":[{"uid":"s-1","boot_ms":1e999}]}`, true, 1, "h:1", true},
		{"left before it was seen", `{"rev":2,"targets":[{"uid":"s-9","state":"left"}]}`, false, 1, "h:1", true},
		{"another address", `{"rev":3,"targets":[{"uid":"s-1","endpoint":"h:2","state":"active","boot_ms":5}]}`, false, 1, "h:2", true},
		{"twice, the last counts", `{"rev":4,"targets":[` + active + `,{"uid":"s-1","endpoint":"h:3","state":"leaving"}]}`, false, 1, "h:3", false},
		{"a state of its own", `{"rev":5,"targets":[{"uid":"s-1","endpoint":"h:3","state":"resting"}]}`, false, 1, "h:3", false},
		{"hundreds", `{"rev":6,"all":true,"targets":[` + strings.Join(hundreds, ",") + `]}`, false, 600, "h:1", true},
		{"an older version", `{"rev":1,"all":true,"targets":[` + active + `]}`, false, 1, "h:1", true},
		{"empty", `{"rev":7,"all":true,"targets":[]}`, false, 0, "", false},
	} {
		err := w.take([]byte(tc.list))
		addr, serving := w.Directory.Lookup("s-1")
		if (err != nil) != tc.bad || len(w.Directory.entries) != tc.servers || addr != tc.addr || serving != tc.serving {
			t.Errorf("%s: %v; %d servers, s-1 %q %v", tc.name, err, len(w.Directory.entries), addr, serving)
		}
	}
	if told != 8 {
		t.Errorf("told %d times", told)
	}
}
