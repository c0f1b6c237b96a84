package revisionlog

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// end is one ingress of a timeline: what it knows, what is on its disk, and what it was last seen to have taken.
type end struct {
	book   *Log
	disk   Record
	full   bool
	token  uint64 // that it holds, as it believes
	lostAt Seconds
}

// play lets a fleet live through a timeline of offers, holders that change and stand still, losses, kills and full disks, and returns
// what broke a rule.
func play(seed uint64) (broken string) {
	const n = 5
	rng := rand.New(rand.NewPCG(seed, 5))
	ends := map[string]*end{}
	var names []string
	for i := range n {
		name := fmt.Sprint("n", i)
		names = append(names, name)
		ends[name] = &end{book: New(Record{})}
	}
	type packet struct {
		at       Seconds
		from, to string
		m        Message
	}
	var out []packet
	said := map[[2]uint64]string{} // content by number and token: an announcement has one
	confirmed := map[string]map[uint64]Entry{}
	note := func(text string, args ...any) {
		if broken == "" {
			broken = fmt.Sprintf(text, args...)
		}
	}
	token, holder, number := uint64(0), "", uint64(0)
	loss := 0.0
	var act func(now Seconds, name string, actions []Action)
	act = func(now Seconds, name string, actions []Action) {
		e := ends[name]
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				if a.Message.Kind == Inventory && len(a.Message.Entries) > 0 {
					if confirmed[name] == nil {
						confirmed[name] = map[uint64]Entry{}
					}
					for _, c := range a.Message.Entries {
						confirmed[name][c.Number] = c
					}
				}
				if a.Message.Kind == Announce && e.token == 0 {
					note("%s tells without the duty", name)
				}
				if rng.Float64() >= loss {
					out = append(out, packet{now + 0.01 + 0.3*rng.Float64()*rng.Float64(), name, a.To, a.Message})
				}
			case StoreRecord:
				if !e.full {
					e.disk = a.Record
					act(now, name, e.book.Step(now, RecordStored(a)))
				}
			case Apply:
				k := [2]uint64{a.Entry.Number, a.Entry.Token}
				if was, ok := said[k]; ok && was != a.Entry.Digest {
					note("number %d under token %d stands for two contents", k[0], k[1])
				}
				said[k] = a.Entry.Digest
			}
		}
	}
	taken := map[string]uint64{}
	for now := Seconds(0); now < 60; now += 0.1 {
		faults := now < 40
		if !faults {
			loss = 0
			for _, e := range ends {
				e.full = false
			}
		}
		switch {
		case !faults || rng.Float64() > 0.1:
		case rng.IntN(3) == 0: // an operator writes a revision at one ingress; at times two write under one number
			if number == 0 || rng.IntN(3) > 0 {
				number++
			}
			name := names[rng.IntN(n)]
			digest := fmt.Sprint(number, "-", rng.IntN(1000))
			act(now, name, ends[name].book.Step(now, LocalRevision{Entry{Number: number, Digest: digest, Text: []byte(digest)}}))
		case rng.IntN(3) == 0:
			loss = []float64{0, 0.1, 0.4}[rng.IntN(3)]
		case rng.IntN(3) == 0:
			e := ends[names[rng.IntN(n)]]
			e.full = !e.full
		case rng.IntN(2) == 0: // killed, and back with its disk
			name := names[rng.IntN(n)]
			e := ends[name]
			for _, c := range confirmed[name] {
				found := false
				for _, k := range e.disk.Entries {
					found = found || k.Number == c.Number && k.Token >= c.Token
				}
				if low := e.disk.Entries; !found && (len(low) < MaxEntries || c.Number > low[0].Number) {
					note("%s confirmed %d and has lost it", name, c.Number)
				}
			}
			e.book, e.token = New(e.disk), 0
		}
		if holder == "" || faults && rng.Float64() < 0.02 { // the old one believes for a while that it still holds it
			if old := ends[holder]; old != nil {
				old.lostAt = now + 3*rng.Float64()
			}
			token++
			holder = names[rng.IntN(n)]
			e := ends[holder]
			e.token, e.lostAt = token, 0
			act(now, holder, e.book.Step(now, LeaseGained{token}))
		}
		for _, name := range names {
			e := ends[name]
			if e.token != 0 && e.lostAt > 0 && now > e.lostAt {
				e.token, e.lostAt = 0, 0
				act(now, name, e.book.Step(now, LeaseLost{}))
			}
			if name == holder && e.token == 0 { // it was killed, and has it again
				token++
				e.token = token
				act(now, name, e.book.Step(now, LeaseGained{token}))
			}
		}
		var later []packet
		for _, p := range out {
			if p.at > now {
				later = append(later, p)
			}
		}
		due := out
		out = later
		for _, p := range due {
			if p.at <= now {
				act(now, p.to, ends[p.to].book.Step(now, MessageReceived{p.from, p.m}))
			}
		}
		for _, name := range names {
			var others []string
			for _, o := range names {
				if o != name {
					others = append(others, o)
				}
			}
			act(now, name, ends[name].book.Step(now, Tick{others, holder}))
			if _, t := ends[name].book.Entries(); t > token || !ends[name].full && t < taken[name] && ends[name].disk.LastToken >= taken[name] {
				note("%s has taken token %d", name, t)
			} else {
				taken[name] = t
			}
		}
	}
	first, _ := ends[names[0]].book.Entries()
	for _, name := range names {
		all, _ := ends[name].book.Entries()
		if len(all) != len(first) {
			note("%s has %d revisions, %s %d", name, len(all), names[0], len(first))
			continue
		}
		for i := range all {
			if all[i].Digest != first[i].Digest {
				note("number %d is %s at %s and %s at %s", all[i].Number, all[i].Digest, name, first[i].Digest, names[0])
			}
		}
	}
	if number > 0 && len(first) == 0 {
		note("nothing was announced")
	}
	return broken
}

// rules are those of a few steps.
func rules() string {
	entry := func(digest string) Entry { return Entry{Number: 1, Digest: digest, Text: []byte(digest)} }
	// A holder that told one member alone is killed: its successor, whose own file has another revision under that number, asks first.
	a, b := New(Record{}), New(Record{})
	a.Step(1, MessageReceived{"old", Message{Kind: Announce, Token: 1, Entries: []Entry{{Number: 1, Token: 1, Digest: "first", Text: []byte("first")}}}})
	b.Step(2, LocalRevision{entry("second")})
	b.Step(2, LeaseGained{2})
	to := map[string]*Log{"a": a, "b": b}
	for now := Seconds(2); now < 8; now += 0.1 {
		queue := map[string][]Action{"b": b.Step(now, Tick{[]string{"a"}, "b"}), "a": a.Step(now, Tick{[]string{"b"}, "b"})}
		for len(queue) > 0 {
			next := map[string][]Action{}
			for from, actions := range queue {
				for _, x := range actions {
					switch x := x.(type) {
					case Send:
						if to[x.To] == nil {
							continue // the old holder is gone
						}
						next[x.To] = append(next[x.To], to[x.To].Step(now, MessageReceived{from, x.Message})...)
					case StoreRecord:
						next[from] = append(next[from], to[from].Step(now, RecordStored(x))...)
					}
				}
			}
			queue = next
		}
	}
	if all, _ := b.Entries(); len(all) != 1 || all[0].Digest != "first" {
		return fmt.Sprintf("the successor has %v", all)
	}
	// What comes under an older token changes nothing.
	a.Step(9, MessageReceived{"old", Message{Kind: Announce, Token: 1, Entries: []Entry{{Number: 2, Token: 1, Digest: "late", Text: []byte("late")}}}})
	if all, _ := a.Entries(); len(all) != 1 {
		return fmt.Sprintf("a late word was taken: %v", all)
	}
	return ""
}

func TestTimelines(t *testing.T) {
	if text := rules(); text != "" {
		t.Error(text)
	}
	for seed := range uint64(100) {
		if text := play(seed); text != "" {
			t.Fatalf("seed %d: %s", seed, text)
		}
	}
}
