package faulttest

import (
	"fmt"
	"io"
	"sync"
	"time"

	"mulleinrouter/internal/standalone/jsontext"
)

// maxListedMembers is the largest number of members that a line of progress lists in full. Of more members, it shows
// the first, the last and the number.
const maxListedMembers = 6

// eventKind is what an event of the log is about.
type eventKind string

const (
	eventStarted  eventKind = "begun"    // all processes run
	eventComplete eventKind = "whole"    // all have received the complete membership
	eventDone     eventKind = "done"     // an action was carried out
	eventUndone   eventKind = "undone"   // an action was undone
	eventExpected eventKind = "expected" // an expectation was evaluated
)

// event is a line of the log in JSON.
type event struct {
	At   float64   `json:"at"` // seconds after the start; 0 before it
	Kind eventKind `json:"kind"`
	What string    `json:"what"`
	Of   []string  `json:"of,omitempty"`
}

// eventLog writes actions and their results, as text and as lines of JSON.
type eventLog struct {
	startedAt time.Time  // time 0 of the events; zero: the scenario has not started
	mu        sync.Mutex // guards the writers below, so that each event is written in one piece
	progress  io.Writer  // nil: none
	events    io.Writer  // nil: none
}

// add writes an event about members.
func (e *eventLog) add(kind eventKind, what string, members ...string) {
	at := 0.0
	if !e.startedAt.IsZero() {
		at = time.Since(e.startedAt).Seconds()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.progress != nil {
		fmt.Fprintf(e.progress, "%6.1f s  %s %s\n", at, what, formatMembers(members))
	}
	if e.events != nil {
		jsontext.NewEncoder(e.events).Encode(event{At: at, Kind: kind, What: what, Of: members})
	}
}

func formatMembers(members []string) string {
	if len(members) > maxListedMembers {
		return fmt.Sprintf("%s ... %s (%d)", members[0], members[len(members)-1], len(members))
	}
	return fmt.Sprint(members)
}
