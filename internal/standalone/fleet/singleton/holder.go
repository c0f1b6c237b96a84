package singleton

import (
	"maps"
	"slices"
)

// HolderEvent is what happens at an ingress.
type HolderEvent interface{ holderEvent() }

// The events.
type (
	// Wanted adds a duty that this ingress would do.
	Wanted struct{ Duty, Zone string }
	// Resign gives a duty up and does not ask for it until Wanted: it goes, or cannot do it.
	Resign struct{ Duty string }
	// Yielded tells that the work of a duty that is to be given up has stopped.
	Yielded struct{ Duty string }
	// Answered is the leader's answer.
	Answered struct{ Answer Answer }
	// Nudged has it ask at once.
	Nudged struct{}
	// Woken tells that this process stood still: it acts on nothing until it has asked again.
	Woken struct{}
	// HolderTick lets time pass.
	HolderTick struct{ Load float64 }
)

func (Wanted) holderEvent()     {}
func (Resign) holderEvent()     {}
func (Yielded) holderEvent()    {}
func (Answered) holderEvent()   {}
func (Nudged) holderEvent()     {}
func (Woken) holderEvent()      {}
func (HolderTick) holderEvent() {}

// HolderAction is what is to be done.
type HolderAction interface{ holderAction() }

// The actions.
type (
	// Send brings a question to the leader.
	Send struct{ Ask Ask }
	// Gained tells that work may begin, under a token, until Lost.
	Gained struct {
		Duty  string
		Token uint64
	}
	// Lost tells that it must stop: the lease has ended.
	Lost struct {
		Duty  string
		Token uint64
	}
	// Yield tells that it is to stop, for another is to have it; Yielded answers it.
	Yield struct{ Duty string }
)

func (Send) holderAction()   {}
func (Gained) holderAction() {}
func (Lost) holderAction()   {}
func (Yield) holderAction()  {}

// held is a duty as a holder knows it.
type held struct {
	zone    string
	token   uint64 // 0: not held
	until   Seconds
	acts    bool // Gained was told, Lost was not
	yields  bool // Yield was told
	leaving bool // it is being given up
	resigns bool // and not wanted again
}

// Holder is the part of each ingress. Until is counted from when the question was sent that the leader confirmed.
type Holder struct {
	self   Claimant
	zone   string
	load   float64
	duties map[string]*held
	id     uint64
	sent   map[uint64]Seconds // questions that are out
	askAt  Seconds
}

// NewHolder returns the part of a process.
func NewHolder(self Claimant, zone string) *Holder {
	return &Holder{self: self, zone: zone, duties: map[string]*held{}, sent: map[uint64]Seconds{}}
}

// Renamed goes by another start of this process: what it held was another's.
func (h *Holder) Renamed(self Claimant) { h.self = self }

// May tells whether a duty may be acted on now, and under which token. It is asked before each effect.
func (h *Holder) May(now Seconds, name string) (token uint64, ok bool) {
	d := h.duties[name]
	if d == nil || d.token == 0 || !d.acts || now >= d.until-Margin && !mutated("acts-on") {
		return 0, false
	}
	return d.token, true
}

// Until is when a duty's lease ends; 0: it is not held.
func (h *Holder) Until(name string) Seconds {
	if d := h.duties[name]; d != nil && d.token != 0 {
		return d.until
	}
	return 0
}

// Step takes an event.
func (h *Holder) Step(now Seconds, e HolderEvent) (actions []HolderAction) {
	switch e := e.(type) {
	case Wanted:
		if len(h.duties) < MostDuties {
			if h.duties[e.Duty] == nil {
				h.duties[e.Duty] = &held{}
			}
			h.duties[e.Duty].zone, h.duties[e.Duty].resigns = e.Zone, false
		}
		h.askAt = now
	case Resign:
		if d := h.duties[e.Duty]; d != nil {
			d.resigns, d.leaving = true, true
			actions = h.drop(e.Duty, d)
			h.askAt = now
		}
	case Yielded:
		if d := h.duties[e.Duty]; d != nil && d.yields {
			d.leaving = true
			actions = h.drop(e.Duty, d)
			h.askAt = now
		}
	case Nudged:
		h.askAt = min(h.askAt, now)
	case Woken:
		if mutated("woken-acts") {
			break
		}
		clear(h.sent) // an answer to what was sent before counts from then, and may still come: it would say little
		for _, name := range slices.Sorted(maps.Keys(h.duties)) {
			h.duties[name].until = 0
		}
		h.askAt = now
	case Answered:
		actions = h.answered(now, e.Answer)
	case HolderTick:
		h.load = e.Load
	}
	return append(actions, h.tick(now)...)
}

// answered goes by the leader's answer.
func (h *Holder) answered(now Seconds, a Answer) (actions []HolderAction) {
	sent, out := h.sent[a.ID]
	if !out {
		return nil // answered already, or asked before this process stood still
	}
	delete(h.sent, a.ID)
	if mutated("lease-from-answer") {
		sent = now
	}
	for _, g := range a.Grants {
		d := h.duties[g.Duty]
		switch {
		case d == nil || g.Token < d.token: // an answer that was overtaken
		case g.Mine && !g.Held && g.Token > d.token && !d.leaving:
			d.token, d.until, h.askAt = g.Token, 0, now // granted: the next question confirms it, and its lease counts from there
		case g.Mine && mutated("grant-is-lease") && g.Token > d.token:
			d.token, d.until, d.acts = g.Token, sent+Lease, true
			actions = append(actions, Gained{g.Duty, d.token})
		case g.Held && g.Token == d.token && !d.leaving:
			d.until = max(d.until, sent+Lease)
			if !d.acts && now < d.until-Margin {
				d.acts = true
				actions = append(actions, Gained{g.Duty, d.token})
			}
			if g.Yield && !d.yields && d.acts {
				d.yields = true
				actions = append(actions, Yield{g.Duty})
			}
		case !g.Mine: // another's, or nobody's
			actions = append(actions, h.drop(g.Duty, d)...)
			d.token, d.leaving, d.yields = 0, false, false
		}
	}
	return actions
}

// drop stops acting on a duty.
func (h *Holder) drop(name string, d *held) []HolderAction {
	if !d.acts {
		return nil
	}
	d.acts = false
	return []HolderAction{Lost{name, d.token}}
}

// tick ends what has ended, and asks.
func (h *Holder) tick(now Seconds) (actions []HolderAction) {
	for _, name := range slices.Sorted(maps.Keys(h.duties)) {
		if d := h.duties[name]; d.acts && now >= d.until-Margin {
			actions = append(actions, h.drop(name, d)...)
		}
	}
	for id, at := range h.sent {
		if now > at+Lease {
			delete(h.sent, id)
		}
	}
	if now < h.askAt || len(h.duties) == 0 {
		return actions
	}
	h.askAt = now + renewEvery
	h.id++
	a := Ask{From: h.self, ID: h.id, Zone: h.zone, Load: h.load}
	for _, name := range slices.Sorted(maps.Keys(h.duties)) {
		d := h.duties[name]
		if d.resigns && d.token == 0 {
			delete(h.duties, name)
			a.Wants = append(a.Wants, Want{Duty: name, Leave: true})
			continue
		}
		a.Wants = append(a.Wants, Want{Duty: name, Token: d.token, Leave: d.leaving, Zone: d.zone})
	}
	h.sent[h.id] = now
	return append(actions, Send{a})
}
