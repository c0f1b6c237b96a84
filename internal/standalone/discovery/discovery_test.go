package discovery

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/emulator/exchange"
	"mulleinrouter/internal/logging/logtest"
)

// TestExchanges plays scripted dialogues as discovery, and checks the updates that the decision module gets and the
// content of the directory after them.
func TestExchanges(t *testing.T) {
	exchange.Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := exchange.New(t, "discovery", "other")
		updates := make(chan decision.Backends, 10)
		w := &Watcher{
			Addr:         p.Addr("discovery"),
			Directory:    &Directory{},
			Log:          logtest.Discard(),
			OnUpdate:     func(b decision.Backends) { updates <- b },
			replyTimeout: time.Minute,
			watchTimeout: time.Minute,
		}
		if strings.HasSuffix(script, "silent.txt") {
			w.watchTimeout = time.Millisecond
		}
		w.RestoreList(&List{Rev: 41, Targets: []Target{{UID: "s-1", Endpoint: "h:1", State: "active"}}})
		if !strings.HasSuffix(script, "restored-list.txt") {
			w.hasList = false // the other scripts are for an ingress without a restored list
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		defer func() { cancel(); <-done }()
		p.Hooks["update"] = func(string) string {
			b := <-updates
			text := fmt.Sprint(b.Complete)
			for _, x := range b.List {
				text += fmt.Sprintf(" %s/%s/%s/%v/%v/%v", x.ID, x.Zone, x.Kind, x.Serving, x.Size, x.StartedAt)
			}
			return text
		}
		p.Hooks["set-address"] = func(string) string {
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

// TestUnusualLists applies lists that a faulty discovery may send, one after another. A malformed list must change
// nothing; the others are applied as far as they are meaningful.
func TestUnusualLists(t *testing.T) {
	updates := 0
	w := &Watcher{Directory: &Directory{}, Log: logtest.Discard(), OnUpdate: func(decision.Backends) { updates++ }}
	const active = `{"uid":"s-1","endpoint":"h:1","state":"active"}`
	hundreds := make([]string, 600)
	for i := range hundreds {
		hundreds[i] = fmt.Sprintf(`{"uid":"s-%d","endpoint":"h:%d","state":"active"}`, i, i)
	}
	for _, tc := range []struct {
		name, list string
		malformed  bool
		servers    int
		addr       string
		serving    bool
	}{
		{"first", `{"rev":1,"all":true,"targets":[` + active + `]}`, false, 1, "h:1", true},
		{"cut short", `{"rev":2,"all":true,"targets":[{"uid":"s-2"`, true, 1, "h:1", true},
		{"not a list", `[]`, true, 1, "h:1", true},
		{"a number as address", `{"rev":2,"all":true,"targets":[{"uid":"s-1","endpoint":7}]}`, true, 1, "h:1", true},
		{"a number without end", `{"rev":2,"all":true,"targets":[{"uid":"s-1","boot_ms":1e999}]}`,
			true, 1, "h:1", true},
		{"left before it was seen", `{"rev":2,"targets":[{"uid":"s-9","state":"left"}]}`, false, 1, "h:1", true},
		{"another address", `{"rev":3,"targets":[{"uid":"s-1","endpoint":"h:2","state":"active","boot_ms":5}]}`,
			false, 1, "h:2", true},
		{"twice, the last counts",
			`{"rev":4,"targets":[` + active + `,{"uid":"s-1","endpoint":"h:3","state":"leaving"}]}`,
			false, 1, "h:3", false},
		{"an unknown state", `{"rev":5,"targets":[{"uid":"s-1","endpoint":"h:3","state":"resting"}]}`,
			false, 1, "h:3", false},
		{"hundreds", `{"rev":6,"all":true,"targets":[` + strings.Join(hundreds, ",") + `]}`, false, 600, "h:1", true},
		{"an older version", `{"rev":1,"all":true,"targets":[` + active + `]}`, false, 1, "h:1", true},
		{"empty", `{"rev":7,"all":true,"targets":[]}`, false, 0, "", false},
	} {
		err := w.apply([]byte(tc.list))
		if (err != nil) != tc.malformed || err != nil && !errors.Is(err, errMalformedList) {
			t.Errorf("%s: error %v, want a malformed list: %v", tc.name, err, tc.malformed)
		}
		addr, serving := w.Directory.Lookup("s-1")
		if got := len(w.Directory.entries); got != tc.servers || addr != tc.addr || serving != tc.serving {
			t.Errorf("%s: %d servers, s-1 at %q, serving %v; want %d, %q, %v",
				tc.name, got, addr, serving, tc.servers, tc.addr, tc.serving)
		}
	}
	if updates != 8 {
		t.Errorf("%d updates, want 8", updates)
	}
}
