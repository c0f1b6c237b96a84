package modelcheck

import "strings"

// The kinds of events. The name of an event is its kind and the client or server that it is about. Traces hold these
// names.
const (
	// Attempts whose connection is being opened.
	eventConnects    = "connects"     // the connection is up
	eventDialFails   = "refuses-late" // the server refuses it after all
	eventCancelLands = "cancel-lands" // the attempt, here or later, notices that it was cancelled

	// Attempts whose last byte is delayed until their server is known to be serving.
	eventLastByte      = "last-byte"    // it is sent, if it still may be
	eventBreaksHolding = "breaks-early" // the server closes the connection
	eventSpeaksHolding = "speaks-early" // the server sends something

	// Attempts that are being written in a single write.
	eventWritten       = "goes-out"
	eventBreaksWriting = "breaks-in-send"

	// Attempts whose body is uploaded while the client sends it.
	eventUploaded          = "up"
	eventUploadBreaks      = "server-breaks-upload"
	eventUploadAbandoned   = "leaves-upload" // the client stalls or disconnects
	eventEarlyOK           = "early-200"
	eventEarlyError        = "early-500"
	eventEarlyNotProcessed = "early-503-not-processed"

	// Attempts that await their answer.
	eventOK                  = "200"
	eventOKClose             = "200-and-close"
	eventOKTrailingBytes     = "200-and-more"
	eventOKStreamed          = "200-long" // the body of the answer is streamed
	eventError               = "500"
	eventNotProcessed        = "503-not-processed"
	eventTimeoutNotProcessed = "504-not-processed"
	eventUnavailable         = "503"
	eventUnidentified        = "503-unnamed"  // an answer that does not say which request it is to
	eventForeignAnswer       = "other-answer" // a copy of the answer before
	eventInterim             = "interim"
	eventMalformed           = "spoilt"
	eventBreaksAwaiting      = "breaks"
	eventTimesOut            = "time-out"
	eventSlowAttempt         = "impatient" // its slow-attempt timeout has passed

	// Answers whose body is streamed.
	eventStreamComplete      = "stream-whole"
	eventStreamTrailingBytes = "stream-more"
	eventStreamCut           = "stream-cut"  // the server ends it early
	eventStreamLeft          = "stream-left" // the client disconnects

	// Clients.
	eventDisconnects = "leaves"
	eventRetries     = "retries"

	// Servers and their list.
	eventDrains       = "drains"
	eventRemoved      = "gone"
	eventAddressTaken = "address-taken" // a new server has this one's address, and this one another
	eventRefuses      = "refuses"       // it refuses connections from now on
	eventForgets      = "forgets"       // it has closed its idle connection
	eventListAgain    = "list-again"    // discovery sends the list once more, as on SIGHUP

	// Time.
	eventTimer = "timer" // the next one is due
	eventTime  = "time"  // a while passes

	// Answers of the quota counter.
	eventCounted           = "counted"
	eventCounterBusy       = "count-busy"
	eventCounterLate       = "count-late"
	eventCounterUnreadable = "count-no-number"

	// The process and its configuration.
	eventPlanChanges = "plan"
	eventShutdown    = "sigterm"
	eventDrainEnds   = "patience" // attempts are not waited for any longer
)

// alphabet is every kind of event, for the share of pairs that a run has covered.
var alphabet = []string{
	eventConnects, eventDialFails, eventCancelLands,
	eventLastByte, eventBreaksHolding, eventSpeaksHolding,
	eventWritten, eventBreaksWriting,
	eventUploaded, eventUploadBreaks, eventUploadAbandoned,
	eventEarlyOK, eventEarlyError, eventEarlyNotProcessed,
	eventOK, eventOKClose, eventOKTrailingBytes, eventOKStreamed,
	eventError, eventNotProcessed, eventTimeoutNotProcessed, eventUnavailable,
	eventUnidentified, eventForeignAnswer, eventInterim, eventMalformed,
	eventBreaksAwaiting, eventTimesOut, eventSlowAttempt,
	eventStreamComplete, eventStreamTrailingBytes, eventStreamCut, eventStreamLeft,
	eventDisconnects, eventRetries,
	eventDrains, eventRemoved, eventAddressTaken, eventRefuses, eventForgets, eventListAgain,
	eventTimer, eventTime,
	eventCounted, eventCounterBusy, eventCounterLate, eventCounterUnreadable,
	eventPlanChanges, eventShutdown, eventDrainEnds,
}

// kindOf returns the kind of an event's name.
func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, " ")
	return kind
}
