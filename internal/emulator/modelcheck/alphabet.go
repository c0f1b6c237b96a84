package modelcheck

import "strings"

// The kinds of events. The name of an event is its kind, followed by the client or server that it concerns, if any.
// Traces store these names.
const (
	// Events of attempts whose connection is being opened.
	eventConnects    = "connects"     // the connection is up
	eventDialFails   = "refuses-late" // the server refuses the connection after some time
	eventCancelLands = "cancel-lands" // the attempt notices its cancellation, in this stage or a later one

	// Events of attempts whose last byte is delayed until their server is known to be serving.
	eventLastByte      = "last-byte"    // the last byte is sent, if that is still allowed
	eventBreaksHolding = "breaks-early" // the server closes the connection
	eventSpeaksHolding = "speaks-early" // the server sends something

	// Events of attempts that are being written in a single write.
	eventWritten       = "goes-out"       // the write is complete
	eventBreaksWriting = "breaks-in-send" // the connection breaks before the last byte

	// Events of attempts whose body is uploaded while the client sends it. Early answers arrive during the upload.
	eventUploaded          = "up"
	eventUploadBreaks      = "server-breaks-upload"
	eventUploadAbandoned   = "leaves-upload" // the client stalls or disconnects
	eventEarlyOK           = "early-200"
	eventEarlyError        = "early-500"
	eventEarlyNotProcessed = "early-503-not-processed"

	// Events of attempts that await their answer.
	eventOK                  = "200"
	eventOKClose             = "200-and-close"
	eventOKTrailingBytes     = "200-and-more"
	eventOKStreamed          = "200-long" // the body of the answer is streamed
	eventError               = "500"
	eventNotProcessed        = "503-not-processed"
	eventTimeoutNotProcessed = "504-not-processed"
	eventUnavailable         = "503"
	eventUnidentified        = "503-unnamed"  // an answer that does not identify its request
	eventForeignAnswer       = "other-answer" // a copy of the previous answer
	eventInterim             = "interim"      // an interim (1xx) response
	eventMalformed           = "spoilt"       // the received bytes are not an HTTP response
	eventBreaksAwaiting      = "breaks"
	eventTimesOut            = "time-out"
	eventSlowAttempt         = "impatient" // the slow-attempt timeout has passed

	// Events of answers whose body is streamed.
	eventStreamComplete      = "stream-whole"
	eventStreamTrailingBytes = "stream-more"
	eventStreamCut           = "stream-cut"  // the server ends the body early
	eventStreamLeft          = "stream-left" // the client disconnects

	// Events of clients.
	eventDisconnects = "leaves"
	eventRetries     = "retries"

	// Events of servers and of the endpoint list.
	eventDrains       = "drains"
	eventRemoved      = "gone"
	eventAddressTaken = "address-taken" // a new server gets the address of this one, which moves to another
	eventRefuses      = "refuses"       // the server refuses connections from now on
	eventForgets      = "forgets"       // the server has closed the idle connection
	eventListAgain    = "list-again"    // discovery sends the list once more, as on SIGHUP

	// Events of the clock.
	eventTimer = "timer" // the next timer is due
	eventTime  = "time"  // passingTime elapses

	// Answers of the quota counter.
	eventCounted           = "counted"
	eventCounterBusy       = "count-busy"      // the counter rejects the call
	eventCounterLate       = "count-late"      // the call times out
	eventCounterUnreadable = "count-no-number" // the answer contains no number

	// Events of the process and of its configuration.
	eventPlanChanges = "plan"     // the customer moves to the other plan
	eventShutdown    = "sigterm"  // the drain of the process begins
	eventDrainEnds   = "patience" // the drain ends: the process cancels the remaining attempts
)

// alphabet lists every kind of event. A run reports how many pairs of kinds it has covered (Result.Pairs).
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

// kindOf returns the kind of event that an event's name begins with.
func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, " ")
	return kind
}
